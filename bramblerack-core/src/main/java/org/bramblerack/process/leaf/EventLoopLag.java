package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How far this host is behind with what has arrived, seen from how late its own regular task runs.
 *
 * <p>An answer may have been here for that long before it is read. Evidence of leafs leaves that time out, so that a
 * host that is slow itself, as just after a start, does not take its leafs for slow. Not safe for use by several
 * threads: the event loop of the entry role owns it.
 */
public final class EventLoopLag {
    /** Over how long a lag is averaged: a few queries of a busy host. */
    private static final double AVERAGING_NANOS = Duration.ofMillis(300).toNanos();

    private long periodNanos;
    private boolean started;
    private long lastRunNanos;
    private long lastLagNanos;
    private double averageNanos;

    private EventLoopLag(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /**
     * Creates a lag that is zero until the regular task has run.
     *
     * @param period how often the task is meant to run
     */
    public static EventLoopLag create(Duration period) {
        checkArgument(!period.isZero() && !period.isNegative(), "a period of %s", period);
        return new EventLoopLag(period.toNanos());
    }

    /** Returns the lag of a host that is never behind. */
    public static EventLoopLag none() {
        return new EventLoopLag(Long.MAX_VALUE);
    }

    /**
     * Notes that the regular task runs, and that it will run again after another time than the one before: a host
     * without work looks seldom.
     */
    public void onTaskRun(long nowNanos, Duration nextPeriod) {
        onTaskRun(nowNanos);
        periodNanos = nextPeriod.toNanos();
    }

    /** Notes that the regular task runs. */
    public void onTaskRun(long nowNanos) {
        lastLagNanos = started ? Math.max(0, nowNanos - lastRunNanos - periodNanos) : 0;
        if (started) {
            double sinceNanos = Math.max(0, nowNanos - lastRunNanos);
            averageNanos += sinceNanos / (sinceNanos + AVERAGING_NANOS) * (lastLagNanos - averageNanos);
        }
        lastRunNanos = nowNanos;
        started = true;
    }

    /** Returns when what is read now may have arrived: on a host that is behind, some time ago. */
    public long arrivalNanos(long nowNanos) {
        return nowNanos - lagNanos(nowNanos);
    }

    /**
     * Returns how far behind the host has been of late on average: at the moment at which it answers it has often just
     * caught up, and one pause for collecting garbage is no slow host.
     */
    public long averageNanos() {
        return (long) averageNanos;
    }

    /** Returns how long what is read now may have waited here. */
    public long lagNanos(long nowNanos) {
        if (!started) {
            return 0;
        }
        return Math.max(lastLagNanos, nowNanos - lastRunNanos - periodNanos);
    }
}
