package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.version.routing.HomeRegions;

/**
 * The leafs of a service that one request may be sent to.
 *
 * <p>Whoever decides for a request sees a service only in this way, so that a leaf outside the homes of the request is
 * never the first choice, a hedge or a retry. Owned by whoever owns the pool.
 */
public final class PermittedLeaves {
    private final LeafPool pool;
    private final HomeRegions homeRegions;

    PermittedLeaves(LeafPool pool, HomeRegions homes) {
        this.pool = requireNonNull(pool);
        this.homeRegions = requireNonNull(homes);
    }

    /** Returns the name of the service. */
    public String service() {
        return pool.service();
    }

    /** Returns true if a mechanism takes part. */
    public boolean uses(RoutingFeature mechanism) {
        return pool.uses(mechanism);
    }

    /** Returns the regions that bind the request. */
    public HomeRegions homeRegions() {
        return homeRegions;
    }

    /** Returns the budget that retries and hedges to the service share. */
    public WindowedBudget budget() {
        return pool.budget();
    }

    /** Returns the leafs that the request may be sent to, leaving ones included. */
    public ImmutableList<Leaf> all() {
        return pool.all().stream().filter(this::permits).collect(ImmutableList.toImmutableList());
    }

    /** Returns true if leafs take work, but all of them are outside the homes of the request. */
    public boolean areAllOutsideHomeRegions() {
        boolean anyElsewhere = false;
        for (Leaf leaf : pool.all()) {
            if (leaf.acceptsWork() && permits(leaf)) {
                return false;
            }
            anyElsewhere |= leaf.acceptsWork();
        }
        return anyElsewhere;
    }

    /** Chooses among the permitted leafs; see {@link LeafPool#choose}. */
    public Optional<Leaf> choose(Predicate<Leaf> filter, long expectedNanos, RandomGenerator random, long nowNanos) {
        Predicate<Leaf> permitted = homeRegions.isUnrestricted() ? filter : leaf -> permits(leaf) && filter.test(leaf);
        return pool.choose(permitted, expectedNanos, random, nowNanos);
    }

    private boolean permits(Leaf leaf) {
        return homeRegions.allows(leaf.location().region());
    }
}
