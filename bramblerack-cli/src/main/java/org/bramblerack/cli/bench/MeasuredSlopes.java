package org.bramblerack.cli.bench;

/**
 * The slopes that {@link CapacityModel} works with, as measured by the benchmarks named, on 8 cores, seed 1, on
 * 2026-12-02.
 */
final class MeasuredSlopes {
    /**
     * Nanoseconds of a query's decisions for each leaf event: the worst round of {@code bench decisions}, 160 shards.
     */
    static final double DECISION_NANOS = 277;

    /**
     * Microseconds of CPU that the tier adds to a leaf call, both hosts together: {@code bench overhead}, 30 shards.
     */
    static final double TIER_CPU_MICROS_PER_CALL = 366;

    /** Claims a second of one log of three voters, 256 at a time: {@code bench claims}, no delay. */
    static final double CLAIMS_PER_SECOND = 18_361;

    /** Bytes a second that an idle host sends for control, whatever the number of hosts: {@code bench cost}. */
    static final double CONTROL_BYTES_BASE = 64.35;

    /** Bytes a second that it sends for each other host: {@code bench cost}, 4 points. */
    static final double CONTROL_BYTES_PER_HOST = 54.82;

    private MeasuredSlopes() {}
}
