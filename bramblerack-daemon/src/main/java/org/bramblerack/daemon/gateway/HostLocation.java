package org.bramblerack.daemon.gateway;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.LeafLocation;

/**
 * The availability zone and region of this host, and the region of each zone.
 *
 * <p>Immutable and thread-safe.
 */
public record HostLocation(String zone, String region, ImmutableMap<String, String> regionsByZone) {
    /** Rejects missing names. */
    public HostLocation {
        requireNonNull(zone);
        requireNonNull(region);
    }

    /** Returns the region of a zone; an unknown zone counts as its own region. */
    public String regionOf(String otherZone) {
        return regionsByZone.getOrDefault(otherZone, otherZone);
    }

    /** Returns the location of the leaves in a zone. */
    public LeafLocation leafLocation(String otherZone) {
        return new LeafLocation(otherZone, regionOf(otherZone), distanceTo(otherZone));
    }

    public Distance distanceTo(String otherZone) {
        return Distance.between(zone, region, otherZone, regionOf(otherZone));
    }
}
