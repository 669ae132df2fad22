package org.bramblerack.request.routed;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingFeature;

/** Decides when an attempt is overdue and which leaf is called for its hedge. Not safe for use by several threads. */
final class HedgeChoice {
    /** Percentage of the budget that hedges leave for retries. */
    private static final int RESERVED_FOR_RETRIES_PERCENT = 35;
    /** A leaf that refuses more of its calls than this is not used for hedges, which it would probably refuse. */
    private static final double MAX_REFUSAL_RATE = 0.3;

    private final PermittedLeaves pool;
    private final RequestBounds bounds;
    private final RandomGenerator random;

    HedgeChoice(PermittedLeaves pool, RequestBounds bounds, RandomGenerator random) {
        this.pool = pool;
        this.bounds = bounds;
        this.random = random;
    }

    /** Returns when an attempt that is made now becomes overdue at its leaf. */
    long overdueNanos(Leaf leaf, long nowNanos) {
        if (!pool.uses(RoutingFeature.LEAF_HEDGES)) {
            return Long.MAX_VALUE / 2;
        }
        long callNanos = Math.max(bounds.expectedNanos(), leaf.workNanos(bounds.expectedNanos(), nowNanos));
        return nowNanos + HedgeTiming.overdueAfterNanos(callNanos, bounds.goalNanos() - nowNanos);
    }

    /** Returns the leaf to call for a hedge, other than those that were called. */
    Optional<Leaf> candidate(ShardAttempts attempts, long nowNanos) {
        return pool.choose(
                leaf -> !attempts.include(leaf) && isSuitable(leaf, nowNanos),
                bounds.expectedNanos(),
                random,
                nowNanos);
    }

    /** Returns false for leaves that are full or stalled, where a hedge would only add load. */
    private static boolean isSuitable(Leaf leaf, long nowNanos) {
        return !leaf.isEjected(nowNanos)
                && !leaf.isOverloaded(nowNanos)
                && !leaf.isStalled(nowNanos)
                && leaf.refusalRate(nowNanos) < MAX_REFUSAL_RATE;
    }

    /** Returns true if a hedge is expected to answer before the overdue attempt. */
    boolean savesTime(Leaf candidate, long nowNanos) {
        return candidate.costNanos(bounds.expectedNanos(), nowNanos) < Leaf.STALL_HANDICAP_NANOS;
    }

    boolean isWithinBudget(long nowNanos) {
        return pool.budget().mayWithdrawAbove(RESERVED_FOR_RETRIES_PERCENT, nowNanos);
    }

    boolean tryWithdraw(long nowNanos) {
        return pool.budget().tryWithdrawAbove(RESERVED_FOR_RETRIES_PERCENT, nowNanos);
    }
}
