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
 * The leaves of one service and this host's share of the service's budget of extra attempts.
 *
 * <p>Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class LeafPool {
    /** The minimum cost of a refused call: a network round trip and a used attempt. */
    private static final double REFUSAL_NANOS = Duration.ofMillis(5).toNanos();
    /**
     * The additional cost of a refused call once the budget is exhausted: the query then loses the shard. It outweighs
     * the queueing time of several calls.
     */
    private static final double REFUSAL_WITHOUT_BUDGET_NANOS =
            Duration.ofMillis(1_500).toNanos();

    /**
     * The additional cost of another leaf than the one whose connections this host holds: the call was forwarded here
     * for that leaf and would go through a third host. It outweighs a short queue, but not a leaf that is stalled,
     * refusing or slow.
     */
    private static final double FORWARD_NANOS = Duration.ofMillis(40).toNanos();

    private final String service;
    private final WindowedBudget budget;
    private final RoutingContext context;
    private final Map<String, Leaf> leaves = new LinkedHashMap<>();
    private boolean heldLocally;

    /** Creates an empty pool with the default context. */
    public LeafPool(String service, WindowedBudget budget) {
        this(service, budget, RoutingContext.plain());
    }

    public LeafPool(String service, WindowedBudget budget, RoutingContext context) {
        this.service = service;
        this.budget = budget;
        this.context = context;
    }

    /** Returns the view of this pool for a request that is bound to the given home regions. */
    public PermittedLeaves permitted(HomeRegions homes) {
        return new PermittedLeaves(this, homes);
    }

    boolean uses(RoutingFeature feature) {
        return context.uses(feature);
    }

    public String service() {
        return service;
    }

    /** Returns the budget that retries and hedges to this service share. */
    public WindowedBudget budget() {
        return budget;
    }

    public void add(Leaf leaf) {
        leaves.put(leaf.id(), leaf);
    }

    /** Removes a leaf; calls in flight to it continue. */
    public Optional<Leaf> remove(String id) {
        Leaf removed = leaves.remove(id);
        if (removed != null) {
            removed.leave();
        }
        return Optional.ofNullable(removed);
    }

    public Optional<Leaf> find(String id) {
        return Optional.ofNullable(leaves.get(id));
    }

    /** Returns all leaves, including leaving ones. */
    public Collection<Leaf> all() {
        return ImmutableList.copyOf(leaves.values());
    }

    /**
     * Sets whether this host holds the connections to the leaf in its availability zone; other hosts then forward calls
     * for that leaf to it.
     */
    public void setHeldLocally(boolean held) {
        heldLocally = held;
    }

    /** Returns true if a leaf within the given distance accepts work and is not ejected. */
    public boolean hasUsableWithin(Distance farthest, long nowNanos) {
        for (Leaf leaf : leaves.values()) {
            if (leaf.acceptsWork() && leaf.distance().compareTo(farthest) <= 0 && !leaf.isEjected(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /** Returns true if any leaf would start a further call at once. */
    public boolean hasCapacity(long nowNanos) {
        return leaves.values().stream().anyMatch(leaf -> leaf.hasCapacity(nowNanos));
    }

    /**
     * Chooses the leaf with the least expected time among those that accept work and match the filter. Ejected leaves
     * are chosen only if there is no other.
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
            // A cold leaf that this host may not call now is treated as ejected: another host may call it.
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
     * Returns the expected cost of a refused call in nanoseconds. It rises as the budget for extra attempts is used up,
     * so that a leaf that refuses calls gets only as many first attempts as can be retried.
     */
    private double refusalNanos(long nowNanos) {
        if (!context.uses(RoutingFeature.REFUSAL_PRICE)) {
            return 0;
        }
        double spent = 1 - budget.remainingFraction(nowNanos);
        return REFUSAL_NANOS + spent * spent * REFUSAL_WITHOUT_BUDGET_NANOS;
    }
}
