package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.AttemptCounter;

/**
 * The results of all runs of one policy for one kind of query.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param policy the policy's name
 * @param kind the kind's name
 * @param credit the mean credit of a query, from 0 to 1
 * @param creditGain the credit minus that of the first policy with the same seeds
 * @param gainMargin half the width of the 95% interval of that gain
 * @param inGoal the share of queries answered within the goal
 * @param late the share of queries answered after the goal
 * @param refused the share of queries refused without being run
 * @param failed the share of queries that failed otherwise
 * @param coverage the mean share of shards in the answers
 * @param p50Millis the median latency of answers
 * @param p99Millis the 99th percentile of that latency
 * @param p999Millis the 99.9th percentile of that latency
 */
record Summary(
        String policy,
        String kind,
        double credit,
        double creditGain,
        double gainMargin,
        double inGoal,
        double late,
        double refused,
        double failed,
        double coverage,
        double p50Millis,
        double p99Millis,
        double p999Millis) {
    private static final double MICROS_PER_MILLI = 1_000;
    /** Approximates a 95% confidence interval for tens of runs; with few runs the interval is too narrow. */
    private static final double STANDARD_ERRORS = 2;

    /** Summarizes the runs of a policy and compares them with the runs of the first policy, seed by seed. */
    static Summary of(String policy, Load load, List<Run.Result> results, List<Run.Result> first) {
        Histogram latencyMicros = new Histogram(OutcomeCounts.KindCounts.HIGHEST_MICROS, 3);
        results.forEach(result -> latencyMicros.add(result.counts().kind(load).latencyMicros()));
        double[] gains = new double[results.size()];
        for (int seed = 0; seed < gains.length; seed++) {
            gains[seed] = credit(results.get(seed), load) - credit(first.get(seed), load);
        }
        return new Summary(
                policy,
                load.name(),
                mean(results, result -> credit(result, load)),
                mean(gains),
                STANDARD_ERRORS * standardError(gains),
                share(results, load, OutcomeCounts.KindCounts::inGoal),
                share(results, load, OutcomeCounts.KindCounts::late),
                share(results, load, OutcomeCounts.KindCounts::refused),
                share(results, load, OutcomeCounts.KindCounts::failed),
                mean(results, result -> result.counts().kind(load).coverage()),
                latencyMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(99) / MICROS_PER_MILLI,
                latencyMicros.getValueAtPercentile(99.9) / MICROS_PER_MILLI);
    }

    private static double credit(Run.Result result, Load load) {
        return result.counts().kind(load).credit();
    }

    private static double share(List<Run.Result> results, Load load, ToDoubleFunction<OutcomeCounts.KindCounts> part) {
        double parts = results.stream()
                .mapToDouble(result -> part.applyAsDouble(result.counts().kind(load)))
                .sum();
        double all = results.stream()
                .mapToDouble(result -> result.counts().kind(load).queries())
                .sum();
        return all == 0 ? 0 : parts / all;
    }

    private static double mean(List<Run.Result> results, ToDoubleFunction<Run.Result> value) {
        return results.stream().mapToDouble(value).average().orElse(0);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return values.length == 0 ? 0 : sum / values.length;
    }

    private static double standardError(double[] values) {
        if (values.length < 2) {
            return 0;
        }
        double mean = mean(values);
        double squares = 0;
        for (double value : values) {
            squares += (value - mean) * (value - mean);
        }
        return Math.sqrt(squares / (values.length - 1) / values.length);
    }

    /**
     * The overhead and the violations of all runs of one policy.
     *
     * @param extraShare hedges and retries, for each first call
     * @param refusedShare calls that ended without success at a leaf, for each first call
     * @param connections connections made after the start, for each first call
     * @param retriesDenied retries denied by the budget, for each first call
     * @param violations the violated invariants, with their seeds
     */
    record Cost(
            String policy,
            double extraShare,
            double refusedShare,
            double connections,
            double retriesDenied,
            ImmutableList<String> violations) {
        /** Sums the overhead and collects the violations of the runs of a policy. */
        static Cost of(String policy, List<Run.Result> results) {
            double first = sum(results, counts -> counts.counter(AttemptCounter.FIRST));
            double extra = sum(
                    results, counts -> counts.attempts(Attempt.Purpose.HEDGE) + counts.attempts(Attempt.Purpose.RETRY));
            ImmutableList.Builder<String> violations = ImmutableList.builder();
            for (int seed = 0; seed < results.size(); seed++) {
                int number = seed;
                results.get(seed).violations().forEach(text -> violations.add("seed " + number + ": " + text));
            }
            return new Cost(
                    policy,
                    extra / Math.max(1, first),
                    sum(results, OutcomeCounts::leafRefusals) / Math.max(1, first),
                    sum(results, OutcomeCounts::connectionsMade) / Math.max(1, first),
                    sum(results, counts -> counts.counter(AttemptCounter.RETRY_DENIED_BUDGET)) / Math.max(1, first),
                    violations.build());
        }

        private static double sum(List<Run.Result> results, ToDoubleFunction<OutcomeCounts> value) {
            return results.stream()
                    .mapToDouble(result -> value.applyAsDouble(result.counts()))
                    .sum();
        }
    }
}
