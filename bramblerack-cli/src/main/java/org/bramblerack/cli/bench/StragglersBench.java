package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.standin.StandInUpstream;

/** Measures tail latency and extra load when 1% of leaf replies take 20 times as long. */
final class StragglersBench implements Bench {
    private static final int SHARDS = 30;
    private static final int SERVICE_MICROS = 4_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double QUERIES_PER_SECOND = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final double STRAGGLER_PERCENT = 1;
    private static final int STRAGGLER_FACTOR = 20;

    @Override
    public String name() {
        return "stragglers";
    }

    @Override
    public String summary() {
        return "p99 and extra load when 1% of leaf replies are 20 times slower, against the naive version";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        report.line(
                "stragglers: 4 hosts, %d shards of 2 replicas with 2 slots, %.0f queries/s, service time %.1f ms, seed %d",
                SHARDS, QUERIES_PER_SECOND, SERVICE_MICROS / 1_000.0, seed);
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system);
                Target naive = new BaselineTarget(system, Duration.ofMillis(DEADLINE_MILLIS))) {
            OpenLoopLoad.run(naive, QUERIES_PER_SECOND, WARM_UP, 0.5, seed);
            OpenLoopLoad.run(tier, QUERIES_PER_SECOND, WARM_UP, 0.5, seed);
            OpenLoopLoad naiveCalm = OpenLoopLoad.run(naive, QUERIES_PER_SECOND, DURATION, 0.5, seed);
            OpenLoopLoad tierCalm = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, DURATION, 0.5, seed);
            for (StandInUpstream upstream : system.fleet().matching("")) {
                upstream.setBehaviour(upstream.behaviour().withStragglers(STRAGGLER_PERCENT, STRAGGLER_FACTOR));
            }
            OpenLoopLoad naiveSlow = OpenLoopLoad.run(naive, QUERIES_PER_SECOND, DURATION, 0.5, seed);
            long callsBefore = system.fleet().ledger().calls();
            Map<QueryCounter, Long> countsBefore = system.counterTotals();
            OpenLoopLoad tierSlow = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, DURATION, 0.5, seed);
            long calls = system.fleet().ledger().calls() - callsBefore;
            system.reportCountersSince(countsBefore, report);
            naiveCalm.describe(report, "naive, no stragglers");
            tierCalm.describe(report, "tier, no stragglers");
            naiveSlow.describe(report, "naive, stragglers");
            tierSlow.describe(report, "tier, stragglers");
            double extra = 100.0 * ((double) calls / (tierSlow.sent() * SHARDS) - 1);
            report.line(
                    "naive p99 with stragglers / without: %.2f",
                    naiveSlow.latencyMillis(99) / naiveCalm.latencyMillis(99));
            boolean latencyWithin = report.checkBound(
                    "tier p99 with stragglers / without",
                    tierSlow.latencyMillis(99) / tierCalm.latencyMillis(99),
                    "",
                    1.5,
                    true);
            boolean extraWithin = report.checkBound("extra leaf requests", extra, "%", 5, true);
            return latencyWithin && extraWithin;
        }
    }
}
