package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.standin.StandInUpstream;

/**
 * Measures load amplification and tail latency while half of the replicas are down for 10 s, and after their return.
 */
final class RecoveryBench implements Bench {
    private static final int SHARDS = 30;
    private static final int SERVICE_MICROS = 4_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double QUERIES_PER_SECOND = 60;
    private static final Duration CALM_DURATION = Duration.ofSeconds(15);
    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(10);
    private static final Duration RECOVERY_SLICE = Duration.ofSeconds(5);
    private static final int MAX_CONNECTIONS = 25;

    @Override
    public String name() {
        return "recovery";
    }

    @Override
    public String summary() {
        return "half of the replicas lost for 10 s: amplification, and how soon the p99 is normal again";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        report.line(
                "recovery: 4 hosts, %d shards of 2 replicas with 2 slots, %.0f queries/s, seed %d",
                SHARDS, QUERIES_PER_SECOND, seed);
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system)) {
            OpenLoopLoad.run(tier, QUERIES_PER_SECOND, CALM_DURATION, 0.5, seed);
            OpenLoopLoad calm = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, CALM_DURATION, 0.5, seed);
            List<StandInUpstream> lost = system.fleet().matching("bench/search/").stream()
                    .filter(upstream -> upstream.upstream().name().upstream().endsWith("b"))
                    .toList();
            Map<QueryCounter, Long> countsBefore = system.counterTotals();
            long connectionsBefore = system.fleet().connectionsOpened();
            lost.forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withDown(true)));
            OpenLoopLoad outage = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, OUTAGE_DURATION, 0.5, seed);
            lost.forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withDown(false)));
            OpenLoopLoad first = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, RECOVERY_SLICE, 0.5, seed);
            OpenLoopLoad second = OpenLoopLoad.run(tier, QUERIES_PER_SECOND, RECOVERY_SLICE, 0.5, seed + 1);
            system.reportCountersSince(countsBefore, report);
            calm.describe(report, "calm");
            outage.describe(report, "half lost");
            first.describe(report, "first 5 s after return");
            second.describe(report, "next 5 s");
            Map<QueryCounter, Long> now = system.counterTotals();
            double extra =
                    increase(now, countsBefore, QueryCounter.HEDGE) + increase(now, countsBefore, QueryCounter.RETRY);
            double amplification = 1 + extra / increase(now, countsBefore, QueryCounter.FIRST_ATTEMPT);
            long opened = system.fleet().connectionsOpened() - connectionsBefore;
            report.line("connections opened in the outage and after: %d to %d upstreams", opened, lost.size());
            boolean amplificationWithin =
                    report.checkBound("leaf requests / first attempts", amplification, "", 1.1, true);
            boolean latencyWithin = report.checkBound(
                    "p99 from 5 s after the return / calm p99",
                    second.latencyMillis(99) / calm.latencyMillis(99),
                    "",
                    1.25,
                    true);
            boolean connectionsWithin = report.checkBound(
                    "most connections open at any replica",
                    system.fleet().maxConnections("bench/search/"),
                    "",
                    MAX_CONNECTIONS,
                    true);
            return amplificationWithin && latencyWithin && connectionsWithin;
        }
    }

    private static double increase(Map<QueryCounter, Long> now, Map<QueryCounter, Long> before, QueryCounter counter) {
        return now.getOrDefault(counter, 0L) - before.getOrDefault(counter, 0L);
    }
}
