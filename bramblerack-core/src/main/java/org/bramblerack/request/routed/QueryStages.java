package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The shards of one query that are left to other hosts. Guarded by the query; not safe for use by several threads. */
final class QueryStages {
    /** How soon a query whose host was behind looks again whether another host is silent. */
    private static final long LEAST_WAIT_NANOS = Duration.ofMillis(5).toNanos();

    private final ImmutableList<StageAttempt> stages;

    QueryStages(ImmutableList<StageAttempt> stages) {
        this.stages = stages;
    }

    ImmutableList<StageAttempt> all() {
        return stages;
    }

    /** Returns true if the query waits for a host that it has not given up. */
    boolean areAwaited() {
        return stages.stream().anyMatch(stage -> !stage.isOver() && !stage.isAbandoned());
    }

    /** Has every host asked. */
    void ask(List<RoutedAction> actions) {
        for (StageAttempt stage : stages) {
            actions.add(new RoutedAction.Count(AttemptCounter.STAGE));
            actions.add(new RoutedAction.CallStage(stage));
        }
    }

    /**
     * Stops counting on the hosts that have been silent for too long, and returns their stages.
     *
     * @param waitedNanos how long ago they were asked, without the time for which this host was behind
     */
    ImmutableList<StageAttempt> abandonSilent(long waitedNanos, List<RoutedAction> actions) {
        ImmutableList.Builder<StageAttempt> silent = ImmutableList.builder();
        for (StageAttempt stage : stages) {
            if (stage.isAwaited() && waitedNanos >= stage.silenceNanos()) {
                stage.abandon();
                actions.add(new RoutedAction.Count(AttemptCounter.STAGE_SILENT));
                actions.add(new RoutedAction.SuspectStage(stage));
                silent.add(stage);
            }
        }
        return silent.build();
    }

    /** Tells the hosts that are still at work that nobody waits for them any more. */
    void giveUp(List<RoutedAction> actions) {
        for (StageAttempt stage : stages) {
            if (!stage.isOver()) {
                actions.add(new RoutedAction.AbandonStage(stage));
            }
        }
    }

    /** Returns when the next host that is awaited has been silent for too long, if one is awaited. */
    Optional<Long> nextSilenceNanos(long startedNanos, long nowNanos) {
        return stages.stream()
                .filter(StageAttempt::isAwaited)
                .map(stage -> Math.max(startedNanos + stage.silenceNanos(), nowNanos + LEAST_WAIT_NANOS))
                .min((one, other) -> Long.compare(one - nowNanos, other - nowNanos));
    }

    /** Returns in words how they stand, for a log line. */
    String describe() {
        StringBuilder text = new StringBuilder();
        stages.forEach(stage -> text.append("; ").append(stage.describe()));
        return text.toString();
    }
}
