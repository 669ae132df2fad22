package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

/**
 * The location of a leaf.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param zone its availability zone
 * @param region the region of that zone
 * @param distance its distance from this host
 */
public record LeafLocation(String zone, String region, Distance distance) {
    private static final String UNNAMED = "";

    /** Validates that all components are present. */
    public LeafLocation {
        requireNonNull(zone);
        requireNonNull(region);
        requireNonNull(distance);
    }

    /** Returns a location without zone and region names; requests that are bound to home regions are not sent there. */
    public static LeafLocation unnamed(Distance distance) {
        return new LeafLocation(UNNAMED, UNNAMED, distance);
    }
}
