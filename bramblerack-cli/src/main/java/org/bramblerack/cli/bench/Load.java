package org.bramblerack.cli.bench;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * An open load: queries are sent at the times of a Poisson process, whether earlier ones were answered or not, and
 * latency counts from the time at which a query was due.
 *
 * <p>Safe for use by many threads.
 */
final class Load {
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int DIGITS = 3;
    private static final int MAX_OUTSTANDING = 20_000;

    private final Histogram urgentWhole = new SynchronizedHistogram(HIGHEST_MICROS, DIGITS);
    private final Histogram normalWhole = new SynchronizedHistogram(HIGHEST_MICROS, DIGITS);
    private final LongAdder urgentAsked = new LongAdder();
    private final LongAdder normalAsked = new LongAdder();
    private final LongAdder partial = new LongAdder();
    private final LongAdder refused = new LongAdder();

    /** Runs a load to its end and returns what was seen. */
    static Load run(Target target, double perSecond, Duration duration, double urgentShare, long seed)
            throws InterruptedException {
        Load load = new Load();
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
            (urgent ? load.urgentAsked : load.normalAsked).increment();
            outstanding.acquire();
            target.ask(urgent, outcome -> {
                load.record(urgent, outcome, System.nanoTime() - sendAtNanos);
                outstanding.release();
            });
        }
        outstanding.acquire(MAX_OUTSTANDING);
        return load;
    }

    double millis(double percentile) {
        Histogram all = urgentWhole.copy();
        all.add(normalWhole);
        return all.getValueAtPercentile(percentile) / 1_000.0;
    }

    long asked() {
        return urgentAsked.sum() + normalAsked.sum();
    }

    long whole() {
        return urgentWhole.getTotalCount() + normalWhole.getTotalCount();
    }

    long notWhole() {
        return partial.sum() + refused.sum();
    }

    double urgentWholeShare() {
        return urgentAsked.sum() == 0 ? 1 : (double) urgentWhole.getTotalCount() / urgentAsked.sum();
    }

    double normalWholeShare() {
        return normalAsked.sum() == 0 ? 1 : (double) normalWhole.getTotalCount() / normalAsked.sum();
    }

    /** Adds a row of percentiles to a report. */
    void describe(Report report, String name) {
        report.line(
                "%-26s asked %6d whole %6d  p50 %8.2f  p90 %8.2f  p99 %8.2f  p99.9 %8.2f ms",
                name, asked(), whole(), millis(50), millis(90), millis(99), millis(99.9));
        for (double percentile : new double[] {10, 25, 50, 75, 90, 95, 99, 99.9}) {
            report.point(name, percentile, millis(percentile));
        }
    }

    private void record(boolean urgent, Target.Outcome outcome, long tookNanos) {
        switch (outcome) {
            case WHOLE ->
                (urgent ? urgentWhole : normalWhole)
                        .recordValue(Math.min(HIGHEST_MICROS, Math.max(1, tookNanos / 1_000)));
            case PARTIAL -> partial.increment();
            default -> refused.increment();
        }
    }
}
