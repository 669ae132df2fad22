package org.bramblerack.cli.bench;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.wire.ClaimRequest;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;

/** Measures the rate and latency of claims for once-only requests at several network delays between hosts. */
final class ClaimsBench implements Bench {
    private static final Duration DURATION = Duration.ofSeconds(8);
    private static final int CONCURRENT_CLAIMS = 256;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final long RETENTION_MILLIS = Duration.ofHours(1).toMillis();

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String summary() {
        return "claims a second with 3 voters, and the latency that one adds at 0.5 and 10 ms of delay";
    }

    @Override
    public boolean run(Report report, long seed) throws IOException, InterruptedException {
        report.line("claims: 3 voters, real syncs, asked through a fourth host, seed %d", seed);
        double perSecond = 0;
        for (Duration delay : new Duration[] {Duration.ZERO, Duration.ofNanos(500_000), Duration.ofMillis(10)}) {
            try (BenchSystem system = BenchSystem.start(4, 2, 2, 3_000, 500, seed, host -> new DelayedLinks(delay))) {
                measure(system, 1, "warm-up", report, false);
                measure(system, 1, delay + ", one at a time", report, true);
                double rate = measure(
                        system, CONCURRENT_CLAIMS, delay + ", " + CONCURRENT_CLAIMS + " at a time", report, true);
                if (delay.isZero()) {
                    perSecond = rate;
                }
            }
        }
        return report.checkBound("claims a second, batched, without delay", perSecond, "/s", 2_000, false);
    }

    private static double measure(BenchSystem system, int concurrency, String name, Report report, boolean printed)
            throws InterruptedException {
        ControlClient client = system.hosts().get(3).controlClient();
        Histogram latency = new SynchronizedHistogram(HISTOGRAM_DIGITS);
        LongAdder granted = new LongAdder();
        Semaphore permits = new Semaphore(concurrency);
        long startNanos = System.nanoTime();
        long number = startNanos;
        while (System.nanoTime() - startNanos < DURATION.toNanos()) {
            permits.acquire();
            long sentNanos = System.nanoTime();
            client.propose(claim(number++), TIMEOUT).subscribe().with(result -> {
                if (result instanceof ProposalResult.Applied applied
                        && applied.result().getKind() == CommandResult.Kind.CLAIMED) {
                    granted.increment();
                    latency.recordValue((System.nanoTime() - sentNanos) / 1_000);
                }
                permits.release();
            });
        }
        permits.acquire(concurrency);
        double rate = granted.sum() / ((System.nanoTime() - startNanos) / 1e9);
        if (printed) {
            report.line(
                    "delay %-26s %8.0f claims/s  p50 %7.2f  p99 %7.2f  max %7.2f ms",
                    name,
                    rate,
                    latency.getValueAtPercentile(50) / 1_000.0,
                    latency.getValueAtPercentile(99) / 1_000.0,
                    latency.getMaxValue() / 1_000.0);
        }
        return rate;
    }

    private static Command claim(long number) {
        return Command.newBuilder()
                .setClaim(ClaimRequest.newBuilder()
                        .setService("bench/pool")
                        .setRequestId("r" + number)
                        .setAttempt("a" + number)
                        .setAtMillis(System.currentTimeMillis())
                        .setRetentionMillis(RETENTION_MILLIS)
                        .setBodyDigest(ByteString.copyFromUtf8("0123456789abcdef0123456789abcdef")))
                .build();
    }

    /** Delays every request to another host. Replies are not delayed, so a round trip takes one delay. */
    private record DelayedLinks(Duration oneWay) implements LinkPolicy {
        @Override
        public boolean isPartitioned(String host) {
            return false;
        }

        @Override
        public Duration delay(String host) {
            return oneWay;
        }
    }
}
