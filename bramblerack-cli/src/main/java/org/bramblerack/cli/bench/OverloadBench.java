package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;

/** Twice the load that the upstreams can carry. */
final class OverloadBench implements Bench {
    private static final int SHARDS = 10;
    private static final int SERVICE_MICROS = 20_000;
    private static final int DEADLINE_MILLIS = 300;
    private static final double CAPACITY_PER_SECOND = 2 * 2 / 0.020;
    private static final double URGENT_SHARE = 0.3;
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration DURATION = Duration.ofSeconds(12);
    private static final double[] LOADS = {0.5, 0.75, 1.0, 1.5, 2.0};

    @Override
    public String name() {
        return "overload";
    }

    @Override
    public String summary() {
        return "goodput and the urgent class up to twice the capacity, against the naive version";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        report.line(
                "overload: 4 hosts, %d shards of 2 replicas with 2 slots, service time 20 ms, capacity %.0f queries/s,"
                        + " %.0f%% urgent, deadline %d ms, seed %d",
                SHARDS, CAPACITY_PER_SECOND, 100 * URGENT_SHARE, DEADLINE_MILLIS, seed);
        double peak = 0;
        double last = 0;
        double urgent = 0;
        double unwanted = 0;
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system);
                Target naive = new NaiveTarget(system, Duration.ofMillis(DEADLINE_MILLIS))) {
            Load.run(tier, CAPACITY_PER_SECOND / 2, WARM_UP, URGENT_SHARE, seed);
            Load.run(naive, CAPACITY_PER_SECOND / 2, WARM_UP, URGENT_SHARE, seed);
            for (double times : LOADS) {
                double rate = times * CAPACITY_PER_SECOND;
                row(report, "naive", times, Load.run(naive, rate, DURATION, URGENT_SHARE, seed));
                Thread.sleep(1_000);
                long finished = system.fleet().ledger().finished();
                Load load = Load.run(tier, rate, DURATION, URGENT_SHARE, seed);
                long done = system.fleet().ledger().finished() - finished;
                row(report, "tier", times, load);
                last = load.whole() / (double) DURATION.toSeconds();
                peak = Math.max(peak, last);
                urgent = load.urgentWholeShare();
                unwanted = 100.0 * (done - load.whole() * SHARDS) / done;
                Thread.sleep(1_000);
            }
        }
        boolean first = report.figure("urgent answered in time at twice the capacity", 100 * urgent, "%", 95, false);
        boolean good = report.figure("goodput at twice the capacity / its peak", 100 * last / peak, "%", 90, false);
        boolean waste = report.figure("leaf work for answers that nobody awaits", unwanted, "%", 5, true);
        return first && good && waste;
    }

    private static void row(Report report, String name, double times, Load load) {
        double goodput = load.whole() / (double) DURATION.toSeconds();
        report.line(
                "%-6s %.2f x capacity: goodput %6.1f/s, urgent in time %5.1f%%, normal in time %5.1f%%, p99 %.1f ms",
                name, times, goodput, 100 * load.urgentWholeShare(), 100 * load.normalWholeShare(), load.millis(99));
        report.point(name + "-goodput", times, goodput);
    }
}
