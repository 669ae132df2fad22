package org.bramblerack.request.routed;

import java.time.Duration;

/**
 * Computes the time limits of stages, the parts of a query that are delegated to other hosts. Stateless and safe for
 * use by many threads.
 */
public final class StageTiming {
    /** Margin between the reply of a stage and the goal, since a late reply loses all its shards at once. */
    private static final long REPLY_MARGIN_NANOS = Duration.ofMillis(8).toNanos();
    /** Allowance for host and network delays beyond the usual before a silent host is treated as failed. */
    public static final long SILENCE_SLACK_NANOS = Duration.ofMillis(30).toNanos();
    /** One round trip, and half of one for a link that has become slower. */
    private static final double SILENCE_ROUND_TRIPS = 1.5;

    private StageTiming() {}

    /**
     * Returns the time until the goal that is given to another host.
     *
     * @param remainingNanos the time until the goal at this host
     */
    public static long remoteGoalNanos(long remainingNanos, long roundTripNanos) {
        return remainingNanos - roundTripNanos - REPLY_MARGIN_NANOS;
    }

    /**
     * Returns the time until the goal that a host applies to a stage it received, shortened if the host lags by more
     * than the reply margin.
     *
     * @param receivedNanos the time until the goal that the calling host sent
     * @param overrunNanos the delay of this host beyond the time at which it plans to reply
     */
    public static long localGoalNanos(long receivedNanos, long overrunNanos) {
        return receivedNanos - Math.max(0, overrunNanos - REPLY_MARGIN_NANOS);
    }

    /**
     * Returns how long a host may be silent before it is treated as failed.
     *
     * @param hedgeDelayNanos the delay after which the host hedges calls and reports its progress
     */
    public static long silenceTimeoutNanos(long hedgeDelayNanos, long roundTripNanos) {
        return hedgeDelayNanos + (long) (SILENCE_ROUND_TRIPS * roundTripNanos) + SILENCE_SLACK_NANOS;
    }
}
