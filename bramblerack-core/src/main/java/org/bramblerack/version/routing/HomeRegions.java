package org.bramblerack.version.routing;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Collection;

/**
 * The regions that may serve a request and see its body.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class HomeRegions {
    /** Every region may. */
    public static final HomeRegions ANY = new HomeRegions(false, ImmutableSortedSet.of());

    private final boolean bound;
    private final ImmutableSortedSet<String> regions;

    private HomeRegions(boolean bound, ImmutableSortedSet<String> regions) {
        this.bound = bound;
        this.regions = regions;
    }

    /** Returns the homes that a list of regions stands for; an empty list binds nothing. */
    public static HomeRegions of(Collection<String> regions) {
        return regions.isEmpty() ? ANY : new HomeRegions(true, ImmutableSortedSet.copyOf(regions));
    }

    /** Returns true if the region may serve the request and see its body. */
    public boolean allows(String region) {
        return !bound || regions.contains(region);
    }

    /** Returns the regions that both allow, which may be none at all. */
    public HomeRegions intersect(HomeRegions other) {
        if (!bound) {
            return other;
        }
        if (!other.bound) {
            return this;
        }
        return new HomeRegions(true, ImmutableSortedSet.copyOf(Sets.intersection(regions, other.regions)));
    }

    /** Returns true if every region may serve the request. */
    public boolean isUnrestricted() {
        return !bound;
    }

    /** Returns true if no region may serve the request. */
    public boolean allowsNone() {
        return bound && regions.isEmpty();
    }

    /** Returns the regions that are named; none if every region may serve the request. */
    public ImmutableSortedSet<String> regions() {
        return regions;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HomeRegions that && bound == that.bound && regions.equals(that.regions);
    }

    @Override
    public int hashCode() {
        return 31 * regions.hashCode() + Boolean.hashCode(bound);
    }

    @Override
    public String toString() {
        return bound ? regions.toString() : "anywhere";
    }
}
