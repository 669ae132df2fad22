package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How many queries of one service a host has in flight, adapted to what the service can bear.
 *
 * <p>The limit grows by one in each round of queries while they take about as long as they did unloaded, and shrinks by
 * a tenth, at most once in a query's time, when they take much longer or run into their deadline. What is compared is
 * the shortest time seen lately, so that queues before the upstreams stay short rather than full.
 *
 * <p>Not safe for use by several threads: the admission guards it.
 */
final class AdaptiveLimit {
    private static final double INITIAL_LIMIT = 8;
    private static final double MIN_LIMIT = 2;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double SHRINK_FACTOR = 0.9;
    private static final double GROW_LATENCY_FACTOR = 2.0;
    private static final double SHRINK_LATENCY_FACTOR = 3.0;
    private static final long LATENCY_SLACK_NANOS = Duration.ofMillis(4).toNanos();
    private static final long MIN_LATENCY_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double EXPECTED_DEVIATIONS = 2.0;

    private final int maxLimit;
    private double limit;
    private double smoothedNanos = Duration.ofMillis(10).toNanos();
    private double deviationNanos;
    private long shortestNanos = Long.MAX_VALUE;
    private long previousShortestNanos = Long.MAX_VALUE;
    private long windowStartNanos = Long.MIN_VALUE;
    private long lastShrinkNanos = Long.MIN_VALUE;

    /**
     * Creates a limit that begins low.
     *
     * @param maxLimit the highest limit, at least 1
     */
    AdaptiveLimit(int maxLimit) {
        checkArgument(maxLimit > 0, "limit %s is not positive", maxLimit);
        this.maxLimit = maxLimit;
        this.limit = Math.min(INITIAL_LIMIT, maxLimit);
    }

    /** Returns how many queries may be in flight. */
    int limit() {
        return (int) Math.max(1, Math.min(maxLimit, limit));
    }

    /** Returns how long a query is to be expected to take at the most, in nanoseconds. */
    long expectedNanos() {
        return (long) (smoothedNanos + EXPECTED_DEVIATIONS * deviationNanos);
    }

    /** Returns how long a query takes on average, in nanoseconds. */
    long averageNanos() {
        return (long) smoothedNanos;
    }

    /**
     * Takes the end of a query.
     *
     * @param tookNanos from its beginning to its end
     * @param deadlineExceeded true if its deadline ended it
     * @param inFlight how many were in flight when it ended, itself included
     */
    void observe(long tookNanos, boolean deadlineExceeded, int inFlight, long nowNanos) {
        deviationNanos += SMOOTHING_FACTOR * (Math.abs(tookNanos - smoothedNanos) - deviationNanos);
        smoothedNanos += SMOOTHING_FACTOR * (tookNanos - smoothedNanos);
        observeShortest(tookNanos, nowNanos);
        double baseNanos = Math.min(shortestNanos, previousShortestNanos);
        if (deadlineExceeded || smoothedNanos > SHRINK_LATENCY_FACTOR * baseNanos + LATENCY_SLACK_NANOS) {
            shrink(nowNanos);
        } else if (smoothedNanos < GROW_LATENCY_FACTOR * baseNanos + LATENCY_SLACK_NANOS && inFlight >= limit()) {
            limit = Math.min(maxLimit, limit + 1 / limit);
        }
    }

    private void shrink(long nowNanos) {
        boolean shrunkRecently = lastShrinkNanos != Long.MIN_VALUE && nowNanos - lastShrinkNanos < smoothedNanos;
        if (!shrunkRecently) {
            lastShrinkNanos = nowNanos;
            limit = Math.max(Math.min(MIN_LIMIT, maxLimit), limit * SHRINK_FACTOR);
        }
    }

    private void observeShortest(long tookNanos, long nowNanos) {
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos >= MIN_LATENCY_WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            previousShortestNanos = shortestNanos;
            shortestNanos = Long.MAX_VALUE;
        }
        shortestNanos = Math.min(shortestNanos, tookNanos);
    }
}
