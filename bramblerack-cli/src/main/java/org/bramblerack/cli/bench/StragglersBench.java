package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.standin.StandInUpstream;

/** One in a hundred leaf replies takes 20 times as long. */
final class StragglersBench implements Bench {
    private static final int SHARDS = 30;
    private static final int SERVICE_MICROS = 4_000;
    private static final int DEADLINE_MILLIS = 1_000;
    private static final double PER_SECOND = 60;
    private static final Duration WARM_UP = Duration.ofSeconds(8);
    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final double PERCENT = 1;
    private static final int FACTOR = 20;

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
                SHARDS, PER_SECOND, SERVICE_MICROS / 1_000.0, seed);
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system);
                Target naive = new NaiveTarget(system, Duration.ofMillis(DEADLINE_MILLIS))) {
            Load.run(naive, PER_SECOND, WARM_UP, 0.5, seed);
            Load.run(tier, PER_SECOND, WARM_UP, 0.5, seed);
            Load naiveCalm = Load.run(naive, PER_SECOND, DURATION, 0.5, seed);
            Load tierCalm = Load.run(tier, PER_SECOND, DURATION, 0.5, seed);
            for (StandInUpstream upstream : system.fleet().matching("")) {
                upstream.setBehaviour(upstream.behaviour().withStragglers(PERCENT, FACTOR));
            }
            Load naiveSlow = Load.run(naive, PER_SECOND, DURATION, 0.5, seed);
            long before = system.fleet().ledger().calls();
            Map<QueryCounter, Long> counted = system.counts();
            Load tierSlow = Load.run(tier, PER_SECOND, DURATION, 0.5, seed);
            long calls = system.fleet().ledger().calls() - before;
            system.describeSince(counted, report);
            naiveCalm.describe(report, "naive, no stragglers");
            tierCalm.describe(report, "tier, no stragglers");
            naiveSlow.describe(report, "naive, stragglers");
            tierSlow.describe(report, "tier, stragglers");
            double extra = 100.0 * ((double) calls / (tierSlow.asked() * SHARDS) - 1);
            report.line("naive p99 with stragglers / without: %.2f", naiveSlow.millis(99) / naiveCalm.millis(99));
            boolean tail = report.figure(
                    "tier p99 with stragglers / without", tierSlow.millis(99) / tierCalm.millis(99), "", 1.5, true);
            boolean load = report.figure("extra leaf requests", extra, "%", 5, true);
            return tail && load;
        }
    }
}
