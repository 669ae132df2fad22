package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.standin.StandInUpstream;

/** Half of the replicas are lost for ten seconds and come back. */
final class RecoveryBench implements Bench {
    private static final int SHARDS = 30;
    private static final int SERVICE_MICROS = 4_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double PER_SECOND = 60;
    private static final Duration CALM = Duration.ofSeconds(15);
    private static final Duration OUTAGE = Duration.ofSeconds(10);
    private static final Duration SLICE = Duration.ofSeconds(5);
    private static final int CONNECTIONS = 25;

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
                SHARDS, PER_SECOND, seed);
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system)) {
            Load.run(tier, PER_SECOND, CALM, 0.5, seed);
            Load calm = Load.run(tier, PER_SECOND, CALM, 0.5, seed);
            List<StandInUpstream> lost = system.fleet().matching("bench/search/").stream()
                    .filter(upstream -> upstream.upstream().name().upstream().endsWith("b"))
                    .toList();
            Map<QueryCounter, Long> counted = system.counts();
            long connectionsBefore = system.fleet().connectionsOpened();
            lost.forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withDown(true)));
            Load outage = Load.run(tier, PER_SECOND, OUTAGE, 0.5, seed);
            lost.forEach(upstream -> upstream.setBehaviour(upstream.behaviour().withDown(false)));
            Load first = Load.run(tier, PER_SECOND, SLICE, 0.5, seed);
            Load second = Load.run(tier, PER_SECOND, SLICE, 0.5, seed + 1);
            system.describeSince(counted, report);
            calm.describe(report, "calm");
            outage.describe(report, "half lost");
            first.describe(report, "first 5 s after return");
            second.describe(report, "next 5 s");
            Map<QueryCounter, Long> now = system.counts();
            double extra = since(now, counted, QueryCounter.HEDGE) + since(now, counted, QueryCounter.RETRY);
            double amplification = 1 + extra / since(now, counted, QueryCounter.FIRST_ATTEMPT);
            long opened = system.fleet().connectionsOpened() - connectionsBefore;
            report.line("connections opened in the outage and after: %d to %d upstreams", opened, lost.size());
            boolean load = report.figure("leaf requests / first attempts", amplification, "", 1.1, true);
            boolean tail = report.figure(
                    "p99 from 5 s after the return / calm p99", second.millis(99) / calm.millis(99), "", 1.25, true);
            boolean limit = report.figure(
                    "most connections open at any replica",
                    system.fleet().maxConnections("bench/search/"),
                    "",
                    CONNECTIONS,
                    true);
            return load && tail && limit;
        }
    }

    private static double since(Map<QueryCounter, Long> now, Map<QueryCounter, Long> before, QueryCounter counter) {
        return now.getOrDefault(counter, 0L) - before.getOrDefault(counter, 0L);
    }
}
