package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.version.routing.HomeRegions;

/**
 * The leaves of a service that one request may be sent to.
 *
 * <p>All code that chooses leaves for a request uses this view, so that a leaf outside the request's home regions is
 * never used for the first attempt, a hedge or a retry. Owned by the owner of the pool.
 */
public final class PermittedLeaves {
    private final LeafPool pool;
    private final HomeRegions homes;

    PermittedLeaves(LeafPool pool, HomeRegions homes) {
        this.pool = requireNonNull(pool);
        this.homes = requireNonNull(homes);
    }

    public String service() {
        return pool.service();
    }

    public boolean uses(RoutingFeature feature) {
        return pool.uses(feature);
    }

    /** Returns the regions to which the request is bound. */
    public HomeRegions homes() {
        return homes;
    }

    /** Returns the budget that retries and hedges to the service share. */
    public WindowedBudget budget() {
        return pool.budget();
    }

    /** Returns the leaves that the request may be sent to, including leaving ones. */
    public ImmutableList<Leaf> all() {
        return pool.all().stream().filter(this::permits).collect(ImmutableList.toImmutableList());
    }

    /** Returns true if some leaves accept work, but all of these are outside the home regions of the request. */
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

    /** Chooses among the permitted leaves; see {@link LeafPool#choose}. */
    public Optional<Leaf> choose(Predicate<Leaf> filter, long expectedNanos, RandomGenerator random, long nowNanos) {
        Predicate<Leaf> permitted = homes.isUnrestricted() ? filter : leaf -> permits(leaf) && filter.test(leaf);
        return pool.choose(permitted, expectedNanos, random, nowNanos);
    }

    private boolean permits(Leaf leaf) {
        return homes.allows(leaf.location().region());
    }
}
