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
    private static final double INITIAL = 8;
    private static final double LEAST = 2;
    private static final double SMOOTHING = 0.1;
    private static final double SHRINK = 0.9;
    private static final double CALM_FACTOR = 2.0;
    private static final double CROWDED_FACTOR = 3.0;
    private static final long SLACK_NANOS = Duration.ofMillis(4).toNanos();
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double DEVIATIONS = 2.0;

    private final int most;
    private double limit;
    private double smoothedNanos = Duration.ofMillis(10).toNanos();
    private double deviationNanos;
    private long shortestNanos = Long.MAX_VALUE;
    private long shortestBeforeNanos = Long.MAX_VALUE;
    private long windowStartNanos = Long.MIN_VALUE;
    private long shrunkAtNanos = Long.MIN_VALUE;

    /**
     * Creates a limit that begins low.
     *
     * @param most the highest limit, at least 1
     */
    AdaptiveLimit(int most) {
        checkArgument(most > 0, "limit %s is not positive", most);
        this.most = most;
        this.limit = Math.min(INITIAL, most);
    }

    /** Returns how many queries may be in flight. */
    int limit() {
        return (int) Math.max(1, Math.min(most, limit));
    }

    /** Returns how long a query is to be expected to take at the most, in nanoseconds. */
    long expectedNanos() {
        return (long) (smoothedNanos + DEVIATIONS * deviationNanos);
    }

    /** Returns how long a query takes on average, in nanoseconds. */
    long averageNanos() {
        return (long) smoothedNanos;
    }

    /**
     * Takes the end of a query.
     *
     * @param tookNanos from its beginning to its end
     * @param ranOutOfTime true if its deadline ended it
     * @param inFlight how many were in flight when it ended, itself included
     */
    void observe(long tookNanos, boolean ranOutOfTime, int inFlight, long nowNanos) {
        deviationNanos += SMOOTHING * (Math.abs(tookNanos - smoothedNanos) - deviationNanos);
        smoothedNanos += SMOOTHING * (tookNanos - smoothedNanos);
        observeShortest(tookNanos, nowNanos);
        double baseNanos = Math.min(shortestNanos, shortestBeforeNanos);
        if (ranOutOfTime || smoothedNanos > CROWDED_FACTOR * baseNanos + SLACK_NANOS) {
            shrink(nowNanos);
        } else if (smoothedNanos < CALM_FACTOR * baseNanos + SLACK_NANOS && inFlight >= limit()) {
            limit = Math.min(most, limit + 1 / limit);
        }
    }

    private void shrink(long nowNanos) {
        boolean lately = shrunkAtNanos != Long.MIN_VALUE && nowNanos - shrunkAtNanos < smoothedNanos;
        if (!lately) {
            shrunkAtNanos = nowNanos;
            limit = Math.max(Math.min(LEAST, most), limit * SHRINK);
        }
    }

    private void observeShortest(long tookNanos, long nowNanos) {
        if (windowStartNanos == Long.MIN_VALUE || nowNanos - windowStartNanos >= WINDOW_NANOS) {
            windowStartNanos = nowNanos;
            shortestBeforeNanos = shortestNanos;
            shortestNanos = Long.MAX_VALUE;
        }
        shortestNanos = Math.min(shortestNanos, tookNanos);
    }
}
