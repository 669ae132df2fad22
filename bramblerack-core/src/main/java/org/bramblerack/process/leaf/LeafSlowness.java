package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * Estimates by which factor the next call to a leaf takes longer than usual.
 *
 * <p>Leaves differ permanently in speed, have slow periods of about half a second, and are much slower for seconds if
 * they are faulty. A single average cannot follow both time scales. So there are two: a slow one for the permanent
 * speed, and a fast one for the remaining deviation. Both are kept as logarithms, so that outliers weigh less.
 *
 * <p>Not safe for use by several threads.
 */
final class LeafSlowness {
    /** Long, because a leaf keeps its speed while it runs. */
    private static final Duration SPEED_HALF_LIFE = Duration.ofSeconds(60);
    /** Low, so that a slow period of a few calls hardly changes the speed. */
    private static final double SPEED_SMOOTHING = 0.05;

    private static final double PERIOD_SMOOTHING = 0.3;
    /** Short, because a slow period lasts about half a second. */
    private static final double PERIOD_HALF_LIFE_NANOS = Duration.ofMillis(300).toNanos();
    /** A slow period beyond this factor is treated as a fault, which lasts for seconds. */
    private static final double FAULT_LOG_FACTOR = Math.log(3);
    /** Long, because every call that probes a faulty leaf delays its query. */
    private static final double FAULT_HALF_LIFE_NANOS = Duration.ofSeconds(5).toNanos();

    private final DecayingAverage speedLog;
    private double periodLog;
    private long observedAtNanos;

    LeafSlowness(long nowNanos) {
        this.speedLog = new DecayingAverage(0, SPEED_SMOOTHING, SPEED_HALF_LIFE, nowNanos);
        this.observedAtNanos = nowNanos;
    }

    /**
     * Records a call.
     *
     * @param factor how long the call took relative to the usual time, above 0
     */
    void observe(double factor, long nowNanos) {
        double log = Math.log(factor);
        double before = periodLogAt(nowNanos);
        periodLog = before + PERIOD_SMOOTHING * (log - speedLog.at(nowNanos) - before);
        observedAtNanos = nowNanos;
        speedLog.observe(log, nowNanos);
    }

    /** Returns the expected duration of the next call relative to the usual time. */
    double at(long nowNanos) {
        return Math.exp(speedLog.at(nowNanos) + periodLogAt(nowNanos));
    }

    private double periodLogAt(long nowNanos) {
        double halfLifeNanos = periodLog < FAULT_LOG_FACTOR ? PERIOD_HALF_LIFE_NANOS : FAULT_HALF_LIFE_NANOS;
        double weight = halfLifeNanos / (halfLifeNanos + Math.max(0, nowNanos - observedAtNanos));
        // Decays the factor rather than its logarithm, which would shrink large factors too fast.
        return Math.log1p(Math.expm1(periodLog) * weight);
    }
}
