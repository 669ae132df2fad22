package org.bramblerack.process.leaf;

import java.time.Duration;

/** How far a leaf or a host is, in the steps that cost time and money. */
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
     * Returns how much faster a leaf at this distance must look before it is preferred to one of the same zone. It
     * stands for the way there and back and for the price of bytes between regions; the two are weighed in
     * {@code docs/design/platform.md}.
     */
    public long handicapNanos() {
        return handicapNanos;
    }

    /** Returns the distance between two places. */
    public static Distance between(String zone, String region, String otherZone, String otherRegion) {
        if (zone.equals(otherZone)) {
            return SAME_ZONE;
        }
        return region.equals(otherRegion) ? SAME_REGION : OTHER_REGION;
    }
}
