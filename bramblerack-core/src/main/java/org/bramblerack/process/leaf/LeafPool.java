package org.bramblerack.process.leaf;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.version.routing.HomeRegions;

/**
 * The leafs of one service and this host's share of the service's budget of extra attempts.
 *
 * <p>Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class LeafPool {
    /** What a refusal costs at least: the way to the leaf and back, and a place among the attempts. */
    private static final double REFUSAL_NANOS = Duration.ofMillis(5).toNanos();
    /**
     * What a refusal costs beyond that once the budget is spent: the shard is then lost to the query, which is worse
     * than any queue. Compared by the experiment tool with 200 to 3000 ms; what matters is that it outweighs a queue of
     * several calls.
     */
    private static final double REFUSAL_WITHOUT_BUDGET_NANOS =
            Duration.ofMillis(1_500).toNanos();

    /**
     * What it costs beyond the way to ask another leaf than the one whose connections this host holds: the call has
     * come here for that leaf, and goes through a third host. As much as the way to another region, so that a queue of
     * a call or two is no reason for it, and a leaf that pauses, refuses or is slow is.
     */
    private static final double FORWARD_NANOS = Duration.ofMillis(40).toNanos();

    private final String service;
    private final WindowedBudget budget;
    private final RoutingContext context;
    private final Map<String, Leaf> leaves = new LinkedHashMap<>();
    private boolean heldLocally;

    /** Creates an empty pool. */
    public LeafPool(String service, WindowedBudget budget) {
        this(service, budget, RoutingContext.plain());
    }

    /** Creates an empty pool of a host with the given context. */
    public LeafPool(String service, WindowedBudget budget, RoutingContext context) {
        this.service = service;
        this.budget = budget;
        this.context = context;
    }

    /** Returns what a request with the given homes may use of it. */
    public PermittedLeaves permitted(HomeRegions homes) {
        return new PermittedLeaves(this, homes);
    }

    /** Returns true if a mechanism takes part. */
    boolean uses(RoutingFeature mechanism) {
        return context.uses(mechanism);
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the budget that retries and hedges to this service share. */
    public WindowedBudget budget() {
        return budget;
    }

    /** Adds a leaf. */
    public void add(Leaf leaf) {
        leaves.put(leaf.id(), leaf);
    }

    /** Removes a leaf; calls under way to it go on. */
    public Optional<Leaf> remove(String id) {
        Leaf removed = leaves.remove(id);
        if (removed != null) {
            removed.leave();
        }
        return Optional.ofNullable(removed);
    }

    /** Returns a leaf by its identifier. */
    public Optional<Leaf> find(String id) {
        return Optional.ofNullable(leaves.get(id));
    }

    /** Returns every leaf, leaving ones included. */
    public Collection<Leaf> all() {
        return ImmutableList.copyOf(leaves.values());
    }

    /**
     * States whether this host holds the connections to the leaf of its availability zone: other hosts then send it the
     * calls for that leaf.
     */
    public void setHeldLocally(boolean held) {
        heldLocally = held;
    }

    /** Returns true if a leaf at most at the given distance takes work and is not ejected. */
    public boolean hasUsableWithin(Distance farthest, long nowNanos) {
        for (Leaf leaf : leaves.values()) {
            if (leaf.acceptsWork() && leaf.distance().compareTo(farthest) <= 0 && !leaf.isEjected(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** Returns true if one of the leafs would begin one more call at once. */
    public boolean hasCapacity(long nowNanos) {
        return leaves.values().stream().anyMatch(leaf -> leaf.hasCapacity(nowNanos));
    }

    /**
     * Chooses the leaf of the least expected time among those that take work and pass the filter. Ejected leafs are
     * chosen only if there is no other.
     */
    public Optional<Leaf> choose(Predicate<Leaf> filter, long expectedNanos, RandomGenerator random, long nowNanos) {
        double refusalNanos = refusalNanos(nowNanos);
        Leaf best = null;
        double bestCost = Double.MAX_VALUE;
        boolean bestEjected = true;
        int ties = 1;
        for (Leaf leaf : leaves.values()) {
            if (!leaf.acceptsWork() || !filter.test(leaf)) {
                continue;
            }
            // A cold leaf for which this host has no allowance is asked through another host, or not at all.
            boolean ejected = leaf.isEjected(nowNanos) || leaf.isBlockedWhileCold(nowNanos);
            double cost = leaf.costNanos(expectedNanos, nowNanos) + leaf.refusalRate(nowNanos) * refusalNanos;
            cost += heldLocally && leaf.distance() != Distance.SAME_ZONE ? FORWARD_NANOS : 0;
            boolean better = ejected != bestEjected ? !ejected : cost < bestCost;
            if (best == null || better) {
                best = leaf;
                bestCost = cost;
                bestEjected = ejected;
                ties = 1;
            } else if (ejected == bestEjected && cost == bestCost) {
                ties++;
                best = random.nextInt(ties) == 0 ? leaf : best;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns what one refusal costs in time: the less of the budget for extra attempts is left, the more, so that a
     * leaf that refuses gets as many first attempts as the budget can send again.
     */
    private double refusalNanos(long nowNanos) {
        if (!context.uses(RoutingFeature.REFUSAL_PRICE)) {
            return 0;
        }
        double spent = 1 - budget.remainingFraction(nowNanos);
        return REFUSAL_NANOS + spent * spent * REFUSAL_WITHOUT_BUDGET_NANOS;
    }
}
