package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * The results of an experiment, by policy.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param summaries one for each policy and kind of query
 * @param costs one for each policy
 * @param creditBySecond for each policy, the mean credit of the queries sent in each second
 */
record Comparison(
        ImmutableList<Summary> summaries,
        ImmutableList<Summary.Cost> costs,
        ImmutableList<ImmutableList<Double>> creditBySecond) {
    /**
     * Runs each policy of an experiment with every seed.
     *
     * @param jobs how many runs execute at a time
     * @param progress receives one line for each completed policy
     * @throws InterruptedException if the thread is interrupted while it waits for runs
     */
    static Comparison run(Experiment experiment, int jobs, Consumer<String> progress) throws InterruptedException {
        ExecutorService workers = Executors.newFixedThreadPool(jobs);
        try {
            ImmutableList.Builder<Summary> summaries = ImmutableList.builder();
            ImmutableList.Builder<Summary.Cost> costs = ImmutableList.builder();
            ImmutableList.Builder<ImmutableList<Double>> seconds = ImmutableList.builder();
            Optional<List<Run.Result>> baseline = Optional.empty();
            for (Experiment.Policy policy : experiment.policies()) {
                List<Run.Result> results = runAllSeeds(experiment, policy, workers);
                List<Run.Result> baselineResults = baseline.orElse(results);
                baseline = Optional.of(baselineResults);
                experiment
                        .loads()
                        .forEach(load -> summaries.add(Summary.of(policy.name(), load, results, baselineResults)));
                costs.add(Summary.Cost.of(policy.name(), results));
                seconds.add(creditBySecond(results));
                progress.accept(policy.name() + ": " + results.size() + " runs completed");
            }
            return new Comparison(summaries.build(), costs.build(), seconds.build());
        } finally {
            workers.shutdownNow();
        }
    }

    /** Returns true if no run violated an invariant. */
    boolean hasNoViolations() {
        return costs.stream().allMatch(cost -> cost.violations().isEmpty());
    }

    private static List<Run.Result> runAllSeeds(
            Experiment experiment, Experiment.Policy policy, ExecutorService workers) throws InterruptedException {
        ImmutableList.Builder<Future<Run.Result>> pending = ImmutableList.builder();
        for (int seed = 0; seed < experiment.seeds(); seed++) {
            int number = seed;
            pending.add(workers.submit(() -> Run.of(experiment, policy.routing(), number)));
        }
        ImmutableList.Builder<Run.Result> results = ImmutableList.builder();
        for (Future<Run.Result> run : pending.build()) {
            try {
                results.add(run.get());
            } catch (ExecutionException failed) {
                throw new IllegalStateException("a run of policy " + policy.name() + " failed", failed.getCause());
            }
        }
        return results.build();
    }

    private static ImmutableList<Double> creditBySecond(List<Run.Result> results) {
        ImmutableList.Builder<Double> seconds = ImmutableList.builder();
        int count = results.get(0).counts().seconds();
        for (int second = 0; second < count; second++) {
            int number = second;
            seconds.add(results.stream()
                    .mapToDouble(result -> result.counts().creditIn(number))
                    .average()
                    .orElse(0));
        }
        return seconds.build();
    }
}
