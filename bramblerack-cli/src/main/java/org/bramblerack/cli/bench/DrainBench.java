package org.bramblerack.cli.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bramblerack.standin.StandInUpstream;

/** Measures the time until a leaving upstream receives no new calls, for each of the three drain signals. */
final class DrainBench implements Bench {
    private static final int SHARDS = 10;
    private static final double QUERIES_PER_SECOND = 150;
    private static final Duration LOAD_DURATION = Duration.ofSeconds(4);
    private static final int ROUNDS = 5;

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "time from each drain signal to the last new request at any host";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        report.line(
                "drain: 7 hosts, %d shards, %.0f queries/s, %d rounds a signal, seed %d",
                SHARDS, QUERIES_PER_SECOND, ROUNDS, seed);
        try (BenchSystem system = BenchSystem.start(7, SHARDS, 2, 3_000, 500, seed);
                Target tier = new TierTarget(system)) {
            OpenLoopLoad.run(tier, QUERIES_PER_SECOND, Duration.ofSeconds(5), 0.5, seed);
            double upstreamWorstMillis = 0;
            double platformWorstMillis = 0;
            double declarationWorstMillis = 0;
            long revision = 1;
            for (int round = 0; round < ROUNDS; round++) {
                StandInUpstream leaving =
                        system.fleet().matching("bench/search/s" + round + "a").get(0);
                upstreamWorstMillis = Math.max(
                        upstreamWorstMillis,
                        measure(
                                tier,
                                leaving,
                                seed + round,
                                () -> leaving.setBehaviour(leaving.behaviour().withDraining(true))));
                leaving.setBehaviour(leaving.behaviour().withDraining(false));
                StandInUpstream listed = system.fleet()
                        .matching("bench/search/s" + (round + 5) + "a")
                        .get(0);
                String address = listed.upstream().address().toString();
                platformWorstMillis = Math.max(
                        platformWorstMillis,
                        measure(tier, listed, seed + round, () -> system.writePlatformList(address)));
                system.writePlatformList("");
                StandInUpstream declared =
                        system.fleet().matching("bench/search/s" + round + "b").get(0);
                String from = "\"address\": \"" + declared.upstream().address() + "\"";
                String text = system.declarationText().replace(from, "\"leaving\": true, " + from);
                long expected = revision;
                String change = "leaving-" + round;
                declarationWorstMillis = Math.max(
                        declarationWorstMillis,
                        measure(tier, declared, seed + round, () -> system.apply(0, change, expected, text)));
                system.apply(0, "back-" + round, expected + 1, system.declarationText());
                revision += 2;
            }
            boolean upstreamWithin = report.checkBound(
                    "upstream's own signal, worst of all rounds", upstreamWorstMillis, "ms", 2_000, true);
            boolean platformWithin =
                    report.checkBound("platform's list, worst of all rounds", platformWorstMillis, "ms", 2_000, true);
            boolean declarationWithin =
                    report.checkBound("declaration, worst of all rounds", declarationWorstMillis, "ms", 2_000, true);
            return upstreamWithin && platformWithin && declarationWithin;
        }
    }

    /** Returns the milliseconds from the signal to the last new call that the upstream received. */
    private static double measure(Target tier, StandInUpstream upstream, long seed, DrainSignal signal)
            throws IOException, InterruptedException {
        AtomicBoolean running = new AtomicBoolean(true);
        Thread load = new Thread(() -> {
            try {
                OpenLoopLoad.run(tier, QUERIES_PER_SECOND, LOAD_DURATION, 0.5, seed);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            } finally {
                running.set(false);
            }
        });
        load.start();
        Thread.sleep(500);
        long signalNanos = System.nanoTime();
        signal.give();
        long calls = upstream.calls();
        long lastNanos = signalNanos;
        while (running.get()) {
            long current = upstream.calls();
            if (current != calls) {
                calls = current;
                lastNanos = System.nanoTime();
            }
            Thread.sleep(2);
        }
        load.join();
        return (lastNanos - signalNanos) / 1e6;
    }

    /** Announces by one of the three signals that an upstream is leaving. */
    @FunctionalInterface
    private interface DrainSignal {
        void give() throws IOException;
    }
}
