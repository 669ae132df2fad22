package org.bramblerack.request.routed;

import java.time.Duration;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.leaf.Leaf;

/**
 * Computes the delay after which an attempt is hedged.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HedgeTiming {
    /**
     * Limits of the hedge delay as fractions of the goal: earlier hedges would waste leaf capacity and bandwidth
     * between regions, and later ones could not answer in time.
     */
    private static final double MIN_DELAY_GOAL_FRACTION = 0.33;

    private static final double MAX_DELAY_GOAL_FRACTION = 0.5;
    /** A call is assumed to need the goal divided by this before any call was observed. */
    private static final int INITIAL_ESTIMATE_GOAL_DIVISOR = 4;
    /** Calls of a route that take longer than this quantile are late. */
    private static final double LATE_QUANTILE_PERCENT = 93;

    /**
     * A call that takes this many times its leaf's usual time is rarely just long, so that the leaf is probably paused.
     */
    private static final double OVERDUE_FACTOR = 3;
    /** The factor if a paused leaf would answer only after the goal. More calls that are just long are then hedged. */
    private static final double OVERDUE_FACTOR_NEAR_GOAL = 2;

    private static final Duration GOAL_FOR_ESTIMATE_WITHOUT_GOAL = Duration.ofMillis(100);

    private HedgeTiming() {}

    /**
     * Creates a tracker of the durations of a route's calls.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static LatencyTracker newLatencyTracker(Duration goal) {
        Duration estimate = goal.isZero() ? GOAL_FOR_ESTIMATE_WITHOUT_GOAL : goal;
        return new LatencyTracker(LATE_QUANTILE_PERCENT, estimate.dividedBy(INITIAL_ESTIMATE_GOAL_DIVISOR));
    }

    /**
     * Returns after how long an attempt is overdue, so that its leaf is probably paused.
     *
     * <p>This detects the few paused leaves of a query to many shards sooner than a quantile over all calls of the
     * route.
     *
     * @param callNanos the expected duration of a call to the leaf
     * @param remainingNanos the time until the goal
     */
    static long overdueAfterNanos(long callNanos, long remainingNanos) {
        double overdueNanos = OVERDUE_FACTOR * callNanos;
        boolean answersBeforeGoal = overdueNanos + Leaf.STALL_HANDICAP_NANOS <= remainingNanos;
        return (long) (answersBeforeGoal ? overdueNanos : OVERDUE_FACTOR_NEAR_GOAL * callNanos);
    }

    /**
     * Returns after how long an attempt is hedged, regardless of its leaf.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static long hedgeDelayNanos(LatencyTracker latency, Duration goal) {
        long lateNanos = latency.lateNanos();
        if (goal.isZero()) {
            return lateNanos;
        }
        long earliestNanos = (long) (MIN_DELAY_GOAL_FRACTION * goal.toNanos());
        long latestNanos = (long) (MAX_DELAY_GOAL_FRACTION * goal.toNanos());
        return Math.min(latestNanos, Math.max(earliestNanos, lateNanos));
    }
}
