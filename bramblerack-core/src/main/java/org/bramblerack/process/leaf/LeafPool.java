package org.bramblerack.process.leaf;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.RetryBudget;

/**
 * The leafs of one service and this host's share of the service's budget of extra attempts.
 *
 * <p>Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class LeafPool {
    private final String service;
    private final RetryBudget budget;
    private final Map<String, Leaf> leaves = new LinkedHashMap<>();

    /** Creates an empty pool. */
    public LeafPool(String service, RetryBudget budget) {
        this.service = service;
        this.budget = budget;
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the budget that retries and hedges to this service share. */
    public RetryBudget budget() {
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

    /** Returns true if a leaf at most at the given distance takes work and is not ejected. */
    public boolean hasUsableWithin(Distance farthest, long nowNanos) {
        for (Leaf leaf : leaves.values()) {
            if (leaf.acceptsWork() && leaf.distance().compareTo(farthest) <= 0 && !leaf.isEjected(nowNanos)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Chooses the leaf of the least expected time among those that take work and pass the filter. Ejected leafs are
     * chosen only if there is no other.
     */
    public Optional<Leaf> choose(Predicate<Leaf> filter, long expectedNanos, RandomGenerator random, long nowNanos) {
        Leaf best = null;
        double bestCost = Double.MAX_VALUE;
        boolean bestEjected = true;
        int ties = 1;
        for (Leaf leaf : leaves.values()) {
            if (!leaf.acceptsWork() || !filter.test(leaf)) {
                continue;
            }
            boolean ejected = leaf.isEjected(nowNanos);
            double cost = leaf.costNanos(expectedNanos, nowNanos);
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
}
