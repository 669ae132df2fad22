package org.bramblerack.cli.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.HdrHistogram.Histogram;
import org.bramblerack.process.leaf.RoutingPolicy;

/** Experiments with leaves of unequal speed, derived from the example file; each query waits for all of its shards. */
final class UnevenLeafs {
    /** The latency allowed, as a multiple of that of an oracle that knows the true state of all leaves. */
    static final double MAX_ORACLE_RATIO = 1.15;

    private static final int SEEDS = 3;
    private static final String WITHOUT_PAUSES = "\"pauseMs\": 0";
    private static final String WITHOUT_SLOW_PERIODS = "\"spellShare\": 0";

    private UnevenLeafs() {}

    static Experiment ofThreeSpeeds() throws IOException {
        return read(WITHOUT_PAUSES, WITHOUT_SLOW_PERIODS);
    }

    static Experiment inSlowPeriods() throws IOException {
        return read(WITHOUT_PAUSES, "\"spellShare\": 0.15");
    }

    static Experiment thatPause() throws IOException {
        return read("\"pauseMs\": 200", WITHOUT_SLOW_PERIODS);
    }

    static Experiment ofAllPatterns() throws IOException {
        return read("\"pauseMs\": 200", "\"spellShare\": 0.15");
    }

    /** Returns the 95th percentile of the latency of a kind of query, as a multiple of the oracle's. */
    static double p95AgainstOracle(Experiment experiment, RoutingPolicy policy, int load) {
        Histogram took = new Histogram(OutcomeCounts.KindCounts.HIGHEST_MICROS, 3);
        Histogram oracle = new Histogram(OutcomeCounts.KindCounts.HIGHEST_MICROS, 3);
        for (int seed = 0; seed < SEEDS; seed++) {
            OutcomeCounts.KindCounts kind = Run.of(experiment, policy, seed)
                    .counts()
                    .kind(experiment.loads().get(load));
            took.add(kind.latencyMicros());
            oracle.add(kind.oracleMicros());
        }
        return (double) took.getValueAtPercentile(95) / oracle.getValueAtPercentile(95);
    }

    private static Experiment read(String pauses, String slowPeriods) throws IOException {
        String text = Files.readString(Path.of("..", "examples", "uneven.json"))
                .replace("\"lengthMs\": 25000", "\"lengthMs\": 10000")
                .replace("\"leastShare\": 0.95", "\"leastShare\": 1")
                .replace("\"leastShare\": 0.85", "\"leastShare\": 1")
                .replace("\"pauseMs\": 200", pauses)
                .replace("\"spellShare\": 0.15", slowPeriods);
        return ExperimentReader.read(text).get();
    }
}
