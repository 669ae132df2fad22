package org.bramblerack.daemon.gateway;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.LeafLocation;

/**
 * Where this host is, and which region each availability zone belongs to.
 *
 * <p>Immutable and safe for use by many threads.
 */
public record HostLocation(String zone, String region, ImmutableMap<String, String> regionsByZone) {
    /** Refuses missing names. */
    public HostLocation {
        requireNonNull(zone);
        requireNonNull(region);
    }

    /** Returns the region of a zone; a zone that is not known is a region of its own. */
    public String regionOf(String otherZone) {
        return regionsByZone.getOrDefault(otherZone, otherZone);
    }

    /** Returns where the leafs of a zone are. */
    public LeafLocation leafLocation(String otherZone) {
        return new LeafLocation(otherZone, regionOf(otherZone), distanceTo(otherZone));
    }

    /** Returns how far a zone is. */
    public Distance distanceTo(String otherZone) {
        return Distance.between(zone, region, otherZone, regionOf(otherZone));
    }
}
