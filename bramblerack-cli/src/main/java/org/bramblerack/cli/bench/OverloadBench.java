package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;

/** Measures goodput, the urgent class and wasted work at loads of up to twice the upstreams' capacity. */
final class OverloadBench implements Bench {
    private static final int SHARDS = 10;
    private static final int SERVICE_MICROS = 20_000;
    private static final int DEADLINE_MILLIS = 300;
    private static final double CAPACITY_PER_SECOND = 2 * 2 / 0.020;
    private static final double URGENT_SHARE = 0.3;
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration DURATION = Duration.ofSeconds(12);
    private static final double[] LOAD_FACTORS = {0.5, 0.75, 1.0, 1.5, 2.0};

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
        double peakGoodput = 0;
        double lastGoodput = 0;
        double urgentShare = 0;
        double wastedPercent = 0;
        try (BenchSystem system = BenchSystem.start(4, SHARDS, 2, SERVICE_MICROS, DEADLINE_MILLIS, seed);
                Target tier = new TierTarget(system);
                Target naive = new BaselineTarget(system, Duration.ofMillis(DEADLINE_MILLIS))) {
            OpenLoopLoad.run(tier, CAPACITY_PER_SECOND / 2, WARM_UP, URGENT_SHARE, seed);
            OpenLoopLoad.run(naive, CAPACITY_PER_SECOND / 2, WARM_UP, URGENT_SHARE, seed);
            for (double loadFactor : LOAD_FACTORS) {
                double rate = loadFactor * CAPACITY_PER_SECOND;
                row(report, "naive", loadFactor, OpenLoopLoad.run(naive, rate, DURATION, URGENT_SHARE, seed));
                Thread.sleep(1_000);
                long finishedBefore = system.fleet().ledger().finished();
                OpenLoopLoad load = OpenLoopLoad.run(tier, rate, DURATION, URGENT_SHARE, seed);
                long finishedCalls = system.fleet().ledger().finished() - finishedBefore;
                row(report, "tier", loadFactor, load);
                lastGoodput = load.completeCount() / (double) DURATION.toSeconds();
                peakGoodput = Math.max(peakGoodput, lastGoodput);
                urgentShare = load.urgentCompleteShare();
                wastedPercent = 100.0 * (finishedCalls - load.completeCount() * SHARDS) / finishedCalls;
                Thread.sleep(1_000);
            }
        }
        boolean urgentWithin =
                report.checkBound("urgent answered in time at twice the capacity", 100 * urgentShare, "%", 95, false);
        boolean goodputWithin = report.checkBound(
                "goodput at twice the capacity / its peak", 100 * lastGoodput / peakGoodput, "%", 90, false);
        boolean wasteWithin =
                report.checkBound("leaf work for answers that nobody awaits", wastedPercent, "%", 5, true);
        return urgentWithin && goodputWithin && wasteWithin;
    }

    private static void row(Report report, String name, double loadFactor, OpenLoopLoad load) {
        double goodput = load.completeCount() / (double) DURATION.toSeconds();
        report.line(
                "%-6s %.2f x capacity: goodput %6.1f/s, urgent in time %5.1f%%, normal in time %5.1f%%, p99 %.1f ms",
                name,
                loadFactor,
                goodput,
                100 * load.urgentCompleteShare(),
                100 * load.normalCompleteShare(),
                load.latencyMillis(99));
        report.point(name + "-goodput", loadFactor, goodput);
    }
}
