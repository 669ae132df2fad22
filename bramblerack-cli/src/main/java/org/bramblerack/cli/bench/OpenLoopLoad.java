package org.bramblerack.cli.bench;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * An open-loop load and its results: queries are sent at the times of a Poisson process, whether or not earlier ones
 * were answered, and latency counts from the time at which a query was due.
 *
 * <p>Safe for use by many threads.
 */
final class OpenLoopLoad {
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int HISTOGRAM_DIGITS = 3;
    private static final int MAX_OUTSTANDING = 20_000;

    private final Histogram urgentComplete = new SynchronizedHistogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);
    private final Histogram normalComplete = new SynchronizedHistogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS);
    private final LongAdder urgentSent = new LongAdder();
    private final LongAdder normalSent = new LongAdder();
    private final LongAdder partial = new LongAdder();
    private final LongAdder refused = new LongAdder();

    /** Sends queries for the given duration, waits for all outcomes, and returns the results. */
    static OpenLoopLoad run(Target target, double perSecond, Duration duration, double urgentShare, long seed)
            throws InterruptedException {
        OpenLoopLoad load = new OpenLoopLoad();
        SplittableRandom random = new SplittableRandom(seed);
        Semaphore outstanding = new Semaphore(MAX_OUTSTANDING);
        long startNanos = System.nanoTime();
        double dueNanos = startNanos;
        while (dueNanos - startNanos < duration.toNanos()) {
            dueNanos += -Math.log(1 - random.nextDouble()) / perSecond * 1e9;
            long sendAtNanos = (long) dueNanos;
            while (System.nanoTime() - sendAtNanos < 0) {
                LockSupport.parkNanos(Math.min(200_000, sendAtNanos - System.nanoTime()));
            }
            boolean urgent = random.nextDouble() < urgentShare;
            (urgent ? load.urgentSent : load.normalSent).increment();
            outstanding.acquire();
            target.send(urgent, outcome -> {
                load.record(urgent, outcome, System.nanoTime() - sendAtNanos);
                outstanding.release();
            });
        }
        outstanding.acquire(MAX_OUTSTANDING);
        return load;
    }

    double latencyMillis(double percentile) {
        Histogram all = urgentComplete.copy();
        all.add(normalComplete);
        return all.getValueAtPercentile(percentile) / 1_000.0;
    }

    long sent() {
        return urgentSent.sum() + normalSent.sum();
    }

    long completeCount() {
        return urgentComplete.getTotalCount() + normalComplete.getTotalCount();
    }

    long incompleteCount() {
        return partial.sum() + refused.sum();
    }

    double urgentCompleteShare() {
        return urgentSent.sum() == 0 ? 1 : (double) urgentComplete.getTotalCount() / urgentSent.sum();
    }

    double normalCompleteShare() {
        return normalSent.sum() == 0 ? 1 : (double) normalComplete.getTotalCount() / normalSent.sum();
    }

    /** Adds a line with counts and latency percentiles, and the points of the latency distribution, to a report. */
    void describe(Report report, String name) {
        report.line(
                "%-26s asked %6d whole %6d  p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f ms",
                name,
                sent(),
                completeCount(),
                latencyMillis(50),
                latencyMillis(90),
                latencyMillis(99),
                latencyMillis(99.9));
        for (double percentile : new double[] {10, 25, 50, 75, 90, 95, 99, 99.9}) {
            report.point(name, percentile, latencyMillis(percentile));
        }
    }

    private void record(boolean urgent, Target.Outcome outcome, long tookNanos) {
        switch (outcome) {
            case COMPLETE ->
                (urgent ? urgentComplete : normalComplete)
                        .recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(1, tookNanos / 1_000)));
            case PARTIAL -> partial.increment();
            default -> refused.increment();
        }
    }
}
