package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/**
 * Tracks a quantile and the median of the reply latency of one service.
 *
 * <p>Samples are collected in windows. The values are those of the last full window, and the initial value until one is
 * full. Safe for use by many threads; nothing is called under its lock.
 */
public final class LatencyTracker {
    private static final int WINDOW_SAMPLES = 2_000;
    private static final long MAX_WINDOW_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MIN_SAMPLES = 100;
    private static final long MAX_MICROS = Duration.ofMinutes(10).toNanos() / 1_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int MAX_LATE_MEDIANS = 3;

    private final double quantilePercent;
    private final Histogram window = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
    private long windowStartNanos = Long.MIN_VALUE;
    private volatile long quantileNanos;
    private volatile long medianNanos;

    /**
     * Creates a tracker without samples.
     *
     * @param quantilePercent the quantile to track, such as 95
     * @param initial the value to report until the first window is full
     */
    public LatencyTracker(double quantilePercent, Duration initial) {
        checkArgument(quantilePercent > 0 && quantilePercent < 100, "quantile %s", quantilePercent);
        this.quantilePercent = quantilePercent;
        this.quantileNanos = initial.toNanos();
        this.medianNanos = initial.toNanos();
    }

    /** Records the latency of one reply. */
    public synchronized void record(long latencyNanos, long nowNanos) {
        if (windowStartNanos == Long.MIN_VALUE) {
            windowStartNanos = nowNanos;
        }
        window.recordValue(Math.max(1, Math.min(MAX_MICROS, latencyNanos / NANOS_PER_MICRO)));
        boolean full = window.getTotalCount() >= WINDOW_SAMPLES;
        boolean expired = nowNanos - windowStartNanos >= MAX_WINDOW_NANOS && window.getTotalCount() >= MIN_SAMPLES;
        if (full || expired) {
            quantileNanos = window.getValueAtPercentile(quantilePercent) * NANOS_PER_MICRO;
            medianNanos = window.getValueAtPercentile(50) * NANOS_PER_MICRO;
            window.reset();
            windowStartNanos = nowNanos;
        }
    }

    /** Returns the observed quantile in nanoseconds. */
    public long quantileNanos() {
        return quantileNanos;
    }

    /**
     * Returns the latency in nanoseconds from which on a reply is late: the quantile, capped at a multiple of the
     * median so that a period of slow replies does not hide the next slow reply.
     */
    public long lateNanos() {
        return Math.min(quantileNanos, MAX_LATE_MEDIANS * medianNanos);
    }

    /** Returns the observed median in nanoseconds. */
    public long medianNanos() {
        return medianNanos;
    }
}
