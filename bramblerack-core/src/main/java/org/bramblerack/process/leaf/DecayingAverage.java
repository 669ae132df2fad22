package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * An average of what was observed, the newest the most, that returns to a neutral value while nothing is observed.
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
     * Creates an average that stands at its neutral value.
     *
     * @param neutral what is taken to hold where nothing was observed
     * @param smoothing how much of its distance from the average each observation adds, above 0 and at most 1
     * @param halfLife after which half of what was observed still counts
     */
    DecayingAverage(double neutral, double smoothing, Duration halfLife, long nowNanos) {
        checkArgument(smoothing > 0 && smoothing <= 1, "a smoothing of %s", smoothing);
        checkArgument(!halfLife.isZero() && !halfLife.isNegative(), "a fading time of %s", halfLife);
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
