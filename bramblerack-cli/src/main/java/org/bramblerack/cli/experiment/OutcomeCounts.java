package org.bramblerack.cli.experiment;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.AttemptCounter;

/** Counts the outcomes of queries and calls in one run. Not safe for use by several threads. */
final class OutcomeCounts {
    private final Map<String, KindCounts> kinds = new LinkedHashMap<>();
    private final EnumMap<AttemptCounter, Long> counters = new EnumMap<>(AttemptCounter.class);
    private final EnumMap<Attempt.Purpose, Long> attempts = new EnumMap<>(Attempt.Purpose.class);
    private final double[] creditBySecond;
    private final int[] queriesBySecond;
    private long leafRefusals;
    private long connectionsMade;

    OutcomeCounts(int seconds) {
        creditBySecond = new double[seconds + 1];
        queriesBySecond = new int[seconds + 1];
    }

    /** The outcomes of the queries of one kind. */
    static final class KindCounts {
        static final long HIGHEST_MICROS = 60_000_000L;
        private final Histogram latencyMicros = new Histogram(HIGHEST_MICROS, 3);
        private final Histogram oracleMicros = new Histogram(HIGHEST_MICROS, 3);
        private long queries;
        private long inGoal;
        private long late;
        private long refused;
        private long failed;
        private double credit;
        private double coverage;

        long queries() {
            return queries;
        }

        long inGoal() {
            return inGoal;
        }

        long late() {
            return late;
        }

        long refused() {
            return refused;
        }

        long failed() {
            return failed;
        }

        /** Returns the mean credit of a query, from 0 to 1. */
        double credit() {
            return queries == 0 ? 0 : credit / queries;
        }

        /** Returns the mean share of shards in the answers. */
        double coverage() {
            return inGoal + late == 0 ? 0 : coverage / (inGoal + late);
        }

        Histogram latencyMicros() {
            return latencyMicros;
        }

        /** Returns the latencies of an oracle that calls the fastest leaf of each shard once. */
        Histogram oracleMicros() {
            return oracleMicros;
        }
    }

    KindCounts kind(Load load) {
        return kinds.computeIfAbsent(load.name(), unused -> new KindCounts());
    }

    Map<String, KindCounts> kinds() {
        return kinds;
    }

    void recordQuery(Load load, long atNanos) {
        kind(load).queries++;
        queriesBySecond[second(atNanos)]++;
    }

    void recordAnswer(Load load, long firstNanos, long atNanos, double coverage) {
        KindCounts kind = kind(load);
        long tookNanos = atNanos - firstNanos;
        kind.latencyMicros.recordValue(tookNanos / 1_000);
        boolean inGoal = tookNanos <= load.goal().toNanos();
        double credit = coverage * coverage * (inGoal ? 1 : load.lateCredit());
        kind.inGoal += inGoal ? 1 : 0;
        kind.late += inGoal ? 0 : 1;
        kind.credit += credit;
        kind.coverage += coverage;
        creditBySecond[second(firstNanos)] += credit;
    }

    /** Records the latency of a query if each shard were called once, at its fastest leaf. */
    void recordOracle(Load load, long tookNanos) {
        kind(load).oracleMicros.recordValue(Math.min(KindCounts.HIGHEST_MICROS, tookNanos / 1_000));
    }

    void recordRefusal(Load load) {
        kind(load).refused++;
    }

    void recordFailure(Load load) {
        kind(load).failed++;
    }

    void count(AttemptCounter counter) {
        counters.merge(counter, 1L, Long::sum);
    }

    void countAttempt(Attempt.Purpose purpose) {
        attempts.merge(purpose, 1L, Long::sum);
    }

    void recordLeafRefusal() {
        leafRefusals++;
    }

    void addConnectionsMade(long count) {
        connectionsMade += count;
    }

    long connectionsMade() {
        return connectionsMade;
    }

    long leafRefusals() {
        return leafRefusals;
    }

    long counter(AttemptCounter counter) {
        return counters.getOrDefault(counter, 0L);
    }

    long attempts(Attempt.Purpose purpose) {
        return attempts.getOrDefault(purpose, 0L);
    }

    /** Returns the mean credit of the queries sent in a second; 1 if there were none. */
    double creditIn(int second) {
        return queriesBySecond[second] == 0 ? 1 : creditBySecond[second] / queriesBySecond[second];
    }

    int seconds() {
        return creditBySecond.length;
    }

    private int second(long atNanos) {
        return (int) Math.min(creditBySecond.length - 1, atNanos / 1_000_000_000L);
    }
}
