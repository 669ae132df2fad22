package org.bramblerack.version.routing;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.collect.Sets;
import java.util.Collection;

/**
 * The regions in which a request may be served and its body processed.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class HomeRegions {
    /** Allows every region. */
    public static final HomeRegions ANY = new HomeRegions(false, ImmutableSortedSet.of());

    private final boolean restricted;
    private final ImmutableSortedSet<String> regions;

    private HomeRegions(boolean restricted, ImmutableSortedSet<String> regions) {
        this.restricted = restricted;
        this.regions = regions;
    }

    /** Returns the home regions with the given names; an empty list allows every region. */
    public static HomeRegions of(Collection<String> regions) {
        return regions.isEmpty() ? ANY : new HomeRegions(true, ImmutableSortedSet.copyOf(regions));
    }

    /** Returns true if the request may be served in the region. */
    public boolean allows(String region) {
        return !restricted || regions.contains(region);
    }

    /** Returns the regions that both allow, which may be none. */
    public HomeRegions intersect(HomeRegions other) {
        if (!restricted) {
            return other;
        }
        if (!other.restricted) {
            return this;
        }
        return new HomeRegions(true, ImmutableSortedSet.copyOf(Sets.intersection(regions, other.regions)));
    }

    /** Returns true if every region is allowed. */
    public boolean isUnrestricted() {
        return !restricted;
    }

    /** Returns true if no region is allowed. */
    public boolean allowsNone() {
        return restricted && regions.isEmpty();
    }

    /** Returns the allowed regions; also empty if every region is allowed. */
    public ImmutableSortedSet<String> regions() {
        return regions;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof HomeRegions that && restricted == that.restricted && regions.equals(that.regions);
    }

    @Override
    public int hashCode() {
        return 31 * regions.hashCode() + Boolean.hashCode(restricted);
    }

    @Override
    public String toString() {
        return restricted ? regions.toString() : "anywhere";
    }
}
