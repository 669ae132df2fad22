package org.bramblerack.process.leaf;

import static java.util.Objects.requireNonNull;

/**
 * Where a leaf is.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param zone its availability zone
 * @param region the region of that zone
 * @param distance how far it is from this host
 */
public record LeafLocation(String zone, String region, Distance distance) {
    private static final String UNNAMED = "";

    /** Refuses missing names. */
    public LeafLocation {
        requireNonNull(zone);
        requireNonNull(region);
        requireNonNull(distance);
    }

    /** Returns a place in a zone and region without names, which no request with homes may be sent to. */
    public static LeafLocation unnamed(Distance distance) {
        return new LeafLocation(UNNAMED, UNNAMED, distance);
    }
}
