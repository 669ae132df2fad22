package org.bramblerack.process.leaf;

import java.time.Duration;

/** The network distance between two hosts, or a host and a leaf, in the steps that differ in latency and price. */
public enum Distance {
    /** In the same availability zone. */
    SAME_ZONE(Duration.ZERO),

    /** In another availability zone of the same region. */
    SAME_REGION(Duration.ofMillis(2)),

    /** In another region. */
    OTHER_REGION(Duration.ofMillis(40));

    private final long handicapNanos;

    Distance(Duration handicap) {
        this.handicapNanos = handicap.toNanos();
    }

    /**
     * Returns the latency advantage that a leaf at this distance needs to be preferred over one in the same zone. It
     * covers the network round trip and the price of traffic between regions.
     */
    public long handicapNanos() {
        return handicapNanos;
    }

    /** Returns the distance between two locations, given by zone and region. */
    public static Distance between(String zone, String region, String otherZone, String otherRegion) {
        if (zone.equals(otherZone)) {
            return SAME_ZONE;
        }
        return region.equals(otherRegion) ? SAME_REGION : OTHER_REGION;
    }
}
