package org.bramblerack.cli.bench;

import com.google.common.collect.ImmutableList;
import java.io.IOException;

/** Measures the CPU time and allocation of a leaf call of a routed query, by number of shards. */
final class PathBench implements Bench {
    private static final ImmutableList<Integer> SHARDS = ImmutableList.of(20, 90, 225);
    private static final int CALLS_PER_ROUND = 20_000;
    private static final int ROUNDS = 3;
    /**
     * The bound on the bytes allocated for a leaf call, stand-in leaf included. Code that visits all shards on each
     * reply exceeds it.
     */
    static final int MAX_BYTES_PER_CALL = 9_500;

    @Override
    public String name() {
        return "path";
    }

    @Override
    public String summary() {
        return "processor time and allocation of a leaf call on the path of a routed query, at 20, 90 and 225 shards";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        PathCost.measure(SHARDS.get(0), CALLS_PER_ROUND / SHARDS.get(0));
        double bytesAtMostShards = 0;
        for (int shards : SHARDS) {
            for (int round = 0; round < ROUNDS; round++) {
                PathCost cost = PathCost.measure(shards, CALLS_PER_ROUND / shards);
                report.line(
                        "%3d shards, %6d calls: %6.1f us of processor time, %7.0f bytes a leaf call",
                        shards, cost.calls(), cost.cpuMicros(), cost.allocatedBytes());
                report.point("cpu", shards, cost.cpuMicros());
                report.point("bytes", shards, cost.allocatedBytes());
                bytesAtMostShards = cost.allocatedBytes();
            }
        }
        return report.checkBound(
                "bytes a leaf call at the most shards", bytesAtMostShards, "B", MAX_BYTES_PER_CALL, true);
    }
}
