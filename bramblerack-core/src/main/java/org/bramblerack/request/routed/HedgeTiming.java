package org.bramblerack.request.routed;

import java.time.Duration;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.leaf.Leaf;

/**
 * Decides after how long an attempt is hedged, and from which evidence.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class HedgeTiming {
    /**
     * A hedge is not sent before this part of the goal has passed, to spare leafs and bytes between regions; and not
     * after {@link #LATEST_HEDGE}, so that the second answer still comes in time.
     */
    private static final double EARLIEST_HEDGE = 0.33;

    private static final double LATEST_HEDGE = 0.5;
    /** The share of the goal that a call is taken to need before any was seen. */
    private static final int GOAL_PARTS = 4;
    /** The quantile of a route's calls after which one is late. */
    private static final double LATE_QUANTILE_PERCENT = 93;

    /**
     * A call that takes this many times as long as its leaf needs is one in a thousand among those that are just long,
     * so that its leaf probably pauses.
     */
    private static final double OVERDUE_TIMES = 3;
    /**
     * The same where the rest of a pause would come after the goal. One in forty of the calls that are just long is
     * hedged as well then: the goal is worth more than the call.
     */
    private static final double OVERDUE_TIMES_NEAR_GOAL = 2;

    private static final Duration EXPECTED_WITHOUT_GOAL = Duration.ofMillis(100);

    private HedgeTiming() {}

    /**
     * Creates the evidence of how long the calls of a route take.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static LatencyTracker newLatencyTracker(Duration goal) {
        Duration guess = goal.isZero() ? EXPECTED_WITHOUT_GOAL : goal;
        return new LatencyTracker(LATE_QUANTILE_PERCENT, guess.dividedBy(GOAL_PARTS));
    }

    /**
     * Returns after how long an attempt is overdue at its leaf, so that the leaf probably pauses.
     *
     * <p>The load that it answers: queries that ask a hundred leafs, some of which pause at any moment. Among all calls
     * of a route a call is late only after a multiple of this, and the query with it.
     *
     * @param callNanos how long a call is expected to take there
     * @param leftNanos the time that is left until the goal
     */
    static long overdueAfterNanos(long callNanos, long leftNanos) {
        double patient = OVERDUE_TIMES * callNanos;
        boolean inTime = patient + Leaf.STALL_HANDICAP_NANOS <= leftNanos;
        return (long) (inTime ? patient : OVERDUE_TIMES_NEAR_GOAL * callNanos);
    }

    /**
     * Returns after how long an attempt is hedged, wherever it was sent.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static long hedgeDelayNanos(LatencyTracker latency, Duration goal) {
        long lateNanos = latency.lateNanos();
        if (goal.isZero()) {
            return lateNanos;
        }
        long earliestNanos = (long) (EARLIEST_HEDGE * goal.toNanos());
        long latestNanos = (long) (LATEST_HEDGE * goal.toNanos());
        return Math.min(latestNanos, Math.max(earliestNanos, lateNanos));
    }
}
