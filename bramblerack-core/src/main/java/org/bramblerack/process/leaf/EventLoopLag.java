package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The lag of this host's event loop, measured by how late a periodic task runs.
 *
 * <p>An answer may have waited that long before it is read. Observations of leaves subtract the lag, so that a slow
 * host does not consider its leaves slow. Not safe for use by several threads: the event loop of the entry role owns
 * it.
 */
public final class EventLoopLag {
    /** The time constant of the average lag. */
    private static final double AVERAGING_NANOS = Duration.ofMillis(300).toNanos();

    private long periodNanos;
    private boolean started;
    private long lastRunNanos;
    private long lastLagNanos;
    private double averageLagNanos;

    private EventLoopLag(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /**
     * Creates a lag that is zero until the periodic task has run.
     *
     * @param period the period of the task
     */
    public static EventLoopLag create(Duration period) {
        checkArgument(!period.isZero() && !period.isNegative(), "period must be positive: %s", period);
        return new EventLoopLag(period.toNanos());
    }

    /** Returns a lag that is always zero. */
    public static EventLoopLag none() {
        return new EventLoopLag(Long.MAX_VALUE);
    }

    /** Records a run of the periodic task and changes its period: an idle host runs it less often. */
    public void onTaskRun(long nowNanos, Duration nextPeriod) {
        onTaskRun(nowNanos);
        periodNanos = nextPeriod.toNanos();
    }

    /** Records a run of the periodic task. */
    public void onTaskRun(long nowNanos) {
        lastLagNanos = started ? Math.max(0, nowNanos - lastRunNanos - periodNanos) : 0;
        if (started) {
            double sinceNanos = Math.max(0, nowNanos - lastRunNanos);
            averageLagNanos += sinceNanos / (sinceNanos + AVERAGING_NANOS) * (lastLagNanos - averageLagNanos);
        }
        lastRunNanos = nowNanos;
        started = true;
    }

    /** Returns the earliest time at which a message that is read now may have arrived. */
    public long arrivalNanos(long nowNanos) {
        return nowNanos - lagNanos(nowNanos);
    }

    /** Returns the average lag, which a single pause for garbage collection hardly changes. */
    public long averageLagNanos() {
        return (long) averageLagNanos;
    }

    /** Returns how long a message that is read now may have waited. */
    public long lagNanos(long nowNanos) {
        if (!started) {
            return 0;
        }
        return Math.max(lastLagNanos, nowNanos - lastRunNanos - periodNanos);
    }
}
