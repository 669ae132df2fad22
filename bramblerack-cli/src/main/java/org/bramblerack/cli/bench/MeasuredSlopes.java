package org.bramblerack.cli.bench;

/**
 * Unit costs that {@link CapacityModel} extrapolates from; each names the benchmark that prints it. Measured with seed
 * 1 on 8 cores, on 2026-12-02.
 */
final class MeasuredSlopes {
    /** Nanoseconds of a query's state machine for each leaf event: {@code bench decisions}, 160 shards. */
    static final double DECISION_NANOS = 277;

    /**
     * CPU microseconds that the tier adds to a leaf call, on both hosts together: {@code bench overhead}, 30 shards.
     */
    static final double TIER_CPU_MICROS_PER_CALL = 366;

    /** Claims a second on one log of three voters, 256 concurrent: {@code bench claims}, no delay. */
    static final double CLAIMS_PER_SECOND = 18_361;

    /** Control bytes a second that an idle host sends independently of the number of hosts: {@code bench cost}. */
    static final double CONTROL_BYTES_BASE = 64.35;

    /** Control bytes a second that an idle host sends for each host of the fleet: {@code bench cost}. */
    static final double CONTROL_BYTES_PER_HOST = 54.82;

    private MeasuredSlopes() {}
}
