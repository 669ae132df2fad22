package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The concurrency limit of one service on one host, adapted to the latency of its queries.
 *
 * <p>Additive increase, multiplicative decrease: the limit grows by one per round of queries while the average latency
 * stays near the shortest recent latency, and shrinks by a tenth, at most once per average latency, when the average is
 * far above it or a query exceeds its deadline. This keeps the queues at the upstreams short.
 *
 * <p>Not thread-safe; guarded by the lock of {@link Admission}'s owner.
 */
final class AdaptiveLimit {
    private static final double INITIAL_LIMIT = 8;
    private static final double MIN_LIMIT = 2;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double SHRINK_FACTOR = 0.9;
    private static final double GROW_LATENCY_FACTOR = 2.0;
    private static final double SHRINK_LATENCY_FACTOR = 3.0;
    private static final long LATENCY_SLACK_NANOS = Duration.ofMillis(4).toNanos();
    private static final long SHORTEST_LATENCY_WINDOW_NANOS =
            Duration.ofSeconds(10).toNanos();
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
     * Creates a limit that starts low and grows with use.
     *
     * @param maxLimit the highest limit, at least 1
     */
    AdaptiveLimit(int maxLimit) {
        checkArgument(maxLimit > 0, "limit %s is not positive", maxLimit);
        this.maxLimit = maxLimit;
        this.limit = Math.min(INITIAL_LIMIT, maxLimit);
    }

    int limit() {
        return (int) Math.max(1, Math.min(maxLimit, limit));
    }

    /** Returns a high estimate of a query's latency: the average plus {@link #EXPECTED_DEVIATIONS} mean deviations. */
    long expectedNanos() {
        return (long) (smoothedNanos + EXPECTED_DEVIATIONS * deviationNanos);
    }

    long averageNanos() {
        return (long) smoothedNanos;
    }

    /**
     * Updates the latency estimates and the limit with a finished query.
     *
     * @param tookNanos its latency
     * @param deadlineExceeded true if it ended at or after its deadline
     * @param inFlight the number of queries in flight when it ended, including itself
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
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos >= SHORTEST_LATENCY_WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            previousShortestNanos = shortestNanos;
            shortestNanos = Long.MAX_VALUE;
        }
        shortestNanos = Math.min(shortestNanos, tookNanos);
    }
}
