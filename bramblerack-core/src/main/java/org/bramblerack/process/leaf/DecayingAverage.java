package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * An exponentially weighted moving average that decays to a neutral value without observations.
 *
 * <p>Not safe for use by several threads.
 */
final class DecayingAverage {
    private final double neutral;
    private final double smoothing;
    private final long halfLifeNanos;
    private double value;
    private long observedAtNanos;

    /**
     * Creates an average at its neutral value.
     *
     * @param neutral the value without observations
     * @param smoothing the weight of each observation, above 0 and at most 1
     * @param halfLife the time without observations after which the distance from the neutral value has halved
     */
    DecayingAverage(double neutral, double smoothing, Duration halfLife, long nowNanos) {
        checkArgument(smoothing > 0 && smoothing <= 1, "smoothing must be above 0 and at most 1: %s", smoothing);
        checkArgument(!halfLife.isZero() && !halfLife.isNegative(), "halfLife must be positive: %s", halfLife);
        this.neutral = neutral;
        this.smoothing = smoothing;
        this.halfLifeNanos = halfLife.toNanos();
        this.value = neutral;
        this.observedAtNanos = nowNanos;
    }

    void observe(double observed, long nowNanos) {
        double before = at(nowNanos);
        value = before + smoothing * (observed - before);
        observedAtNanos = nowNanos;
    }

    double at(long nowNanos) {
        double weight = (double) halfLifeNanos / (halfLifeNanos + Math.max(0, nowNanos - observedAtNanos));
        return neutral + (value - neutral) * weight;
    }
}
