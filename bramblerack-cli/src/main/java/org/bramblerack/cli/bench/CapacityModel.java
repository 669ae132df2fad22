package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;
import java.util.Locale;

/**
 * Computes the load and cost of each role at the planned fleet size from the unit costs in {@link MeasuredSlopes}.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class CapacityModel {
    private static final double NODES = 1_700;
    private static final double LEAVES = 7_400;
    private static final double QUERIES_PER_SECOND = 270_000;
    private static final double SHARDS_PER_QUERY = 160;
    private static final double ZONES = 15;
    private static final double CHANGES_PER_DAY = 860;
    private static final double RESTARTS_PER_DAY = 3_300;
    private static final double SECONDS_PER_DAY = 86_400;
    private static final double HOLDERS_PER_LEAF = 2;
    private static final double CONNECTIONS_PER_HELD_LEAF = 4;
    private static final double SLOTS_PER_LEAF = 2;
    private static final double BYTES_PER_SECOND_BUDGET = 17_000;
    private static final double PULLS_PER_SECOND = 1 / 0.3;
    private static final double HEARTBEATS_PER_SECOND = 2;
    private static final double DECLARED_BYTES_PER_UPSTREAM = 95;
    private static final double LINK_BYTES_PER_SECOND = 125_000_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private CapacityModel() {}

    /** Returns the tables of {@code docs/CAPACITY.md}, line by line. */
    public static ImmutableList<String> tables() {
        ImmutableList.Builder<String> lines = ImmutableList.builder();
        header(lines, "Entry, a node");
        double queries = QUERIES_PER_SECOND / NODES;
        double calls = queries * SHARDS_PER_QUERY;
        row(lines, "queries a second", queries, "270,000 / 1,700");
        row(lines, "leaf calls a second, out", calls, "each query asks 160 leafs");
        row(
                lines,
                "cores for decisions",
                calls * 2 * MeasuredSlopes.DECISION_NANOS / NANOS_PER_SECOND,
                "bench decisions");
        row(
                lines,
                "cores in all, entry and holder side",
                calls * MeasuredSlopes.TIER_CPU_MICROS_PER_CALL / MICROS_PER_SECOND,
                "bench overhead: the tier less the direct way");
        row(
                lines,
                "longest time of a leaf call at this rate, ms",
                1_000 * SLOTS_PER_LEAF * LEAVES / (QUERIES_PER_SECOND * SHARDS_PER_QUERY),
                "7,400 leafs with 2 slots each");
        header(lines, "Holder, a node");
        double leavesPerZone = LEAVES / ZONES;
        double nodesPerZone = NODES / ZONES;
        double held = HOLDERS_PER_LEAF * leavesPerZone / nodesPerZone;
        row(lines, "upstreams held", held, "2 holders each, in the leaf's zone");
        row(lines, "connections to upstreams", held * CONNECTIONS_PER_HELD_LEAF, "a share of 4 of 25");
        row(lines, "leaf calls a second, in", calls, "as many as go out");
        row(lines, "reports asked a second", held * 2, "each every half second");
        header(lines, "Control voter, the leader");
        row(lines, "asks for changes a second, today's build", NODES * PULLS_PER_SECOND, "each host every 300 ms");
        row(lines, "the same through a relay in each zone", ZONES * PULLS_PER_SECOND, "not built");
        row(lines, "claims a second that one log carries", MeasuredSlopes.CLAIMS_PER_SECOND, "bench claims, no delay");
        row(lines, "changes a second", CHANGES_PER_DAY / SECONDS_PER_DAY, "860 a day");
        row(
                lines,
                "seconds to send one change to all, today's build",
                NODES * LEAVES * DECLARED_BYTES_PER_UPSTREAM / LINK_BYTES_PER_SECOND,
                "a partner's whole file over 1 Gbit/s");
        row(
                lines,
                "the same through a relay in each zone",
                (ZONES + nodesPerZone) * LEAVES * DECLARED_BYTES_PER_UPSTREAM / LINK_BYTES_PER_SECOND,
                "not built");
        row(
                lines,
                "bytes a second for changes, a node",
                CHANGES_PER_DAY / SECONDS_PER_DAY * LEAVES * DECLARED_BYTES_PER_UPSTREAM,
                "budget 17,000, with all else");
        header(lines, "Membership and status, a node");
        row(
                lines,
                "bytes a second, today's build, beats to all",
                MeasuredSlopes.CONTROL_BYTES_BASE + NODES * MeasuredSlopes.CONTROL_BYTES_PER_HOST,
                "bench cost; budget 17,000");
        row(
                lines,
                "the same with beats inside the zone only",
                MeasuredSlopes.CONTROL_BYTES_BASE + nodesPerZone * MeasuredSlopes.CONTROL_BYTES_PER_HOST,
                "not built; budget 17,000");
        row(lines, "messages a second, today's build", NODES * HEARTBEATS_PER_SECOND, "each host every half second");
        row(
                lines,
                "hosts that the bytes budget carries, today's build",
                (BYTES_PER_SECOND_BUDGET - MeasuredSlopes.CONTROL_BYTES_BASE) / MeasuredSlopes.CONTROL_BYTES_PER_HOST,
                "bench cost");
        row(lines, "seconds between restarts somewhere", SECONDS_PER_DAY / RESTARTS_PER_DAY, "3,300 a day");
        return lines.build();
    }

    private static void header(ImmutableList.Builder<String> lines, String role) {
        lines.add("### " + role);
        lines.add("");
        lines.add("| | at the planned size | from |");
        lines.add("|---|---|---|");
    }

    private static void row(ImmutableList.Builder<String> lines, String quantity, double value, String source) {
        String text =
                value >= 100 ? String.format(Locale.ROOT, "%,.0f", value) : String.format(Locale.ROOT, "%.3g", value);
        lines.add("| " + quantity + " | " + text + " | " + source + " |");
    }
}
