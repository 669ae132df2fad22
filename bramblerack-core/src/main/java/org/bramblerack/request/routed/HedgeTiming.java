package org.bramblerack.request.routed;

import java.time.Duration;
import org.bramblerack.process.LatencyTracker;

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

    private static final Duration EXPECTED_WITHOUT_GOAL = Duration.ofMillis(100);

    private HedgeTiming() {}

    /**
     * Creates the evidence of how long the calls of a route take.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static LatencyTracker newLatency(Duration goal) {
        Duration guess = goal.isZero() ? EXPECTED_WITHOUT_GOAL : goal;
        return new LatencyTracker(LATE_QUANTILE_PERCENT, guess.dividedBy(GOAL_PARTS));
    }

    /**
     * Returns after how long an attempt is hedged.
     *
     * @param goal the goal of the route, or zero if it has none
     */
    public static long delayNanos(LatencyTracker latency, Duration goal) {
        long lateNanos = latency.lateNanos();
        if (goal.isZero()) {
            return lateNanos;
        }
        long earliestNanos = (long) (EARLIEST_HEDGE * goal.toNanos());
        long latestNanos = (long) (LATEST_HEDGE * goal.toNanos());
        return Math.min(latestNanos, Math.max(earliestNanos, lateNanos));
    }
}
