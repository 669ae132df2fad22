package org.bramblerack.request.routed;

import java.time.Duration;

/** The times that a query allows the hosts to which it leaves shards. Stateless and safe for use by many threads. */
public final class StageTiming {
    /** The reply is on its way this long before it must be, since a late one loses all its shards at once. */
    private static final long GOAL_SLACK_NANOS = Duration.ofMillis(8).toNanos();
    /** What a host and the link may take beyond the usual before silence means that something is wrong. */
    public static final long SILENCE_SLACK_NANOS = Duration.ofMillis(30).toNanos();
    /** The round trip of the call and its reply, and half of one for a link that is slower than it was. */
    private static final double SILENT_ROUND_TRIPS = 1.5;

    private StageTiming() {}

    /**
     * Returns how much of the time until the goal another host has.
     *
     * @param leftNanos the time until the goal here
     */
    public static long remoteGoalNanos(long leftNanos, long roundTripNanos) {
        return leftNanos - roundTripNanos - GOAL_SLACK_NANOS;
    }

    /**
     * Returns how much of the time that a host was given it waits: less if it is further behind than the host that
     * asked allows for.
     *
     * @param givenNanos the time until the goal that it was told
     * @param overrunNanos what it takes beyond the moment at which it means to send what is in
     */
    public static long localGoalNanos(long givenNanos, long overrunNanos) {
        return givenNanos - Math.max(0, overrunNanos - GOAL_SLACK_NANOS);
    }

    /**
     * Returns how long a host may be silent before it counts as lost.
     *
     * @param hedgeDelayNanos after which it asks second leafs, and says so
     */
    public static long silenceTimeoutNanos(long hedgeDelayNanos, long roundTripNanos) {
        return hedgeDelayNanos + (long) (SILENT_ROUND_TRIPS * roundTripNanos) + SILENCE_SLACK_NANOS;
    }
}
