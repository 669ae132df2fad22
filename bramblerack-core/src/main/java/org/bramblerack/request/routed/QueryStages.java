package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The stages of one query: groups of shards that are delegated to other hosts. Guarded by the query; not safe for use
 * by several threads.
 */
final class QueryStages {
    /** Minimum delay before the next check for silent hosts, for a query whose own host lagged. */
    private static final long MIN_RECHECK_NANOS = Duration.ofMillis(5).toNanos();

    private final ImmutableList<StageAttempt> stages;

    QueryStages(ImmutableList<StageAttempt> stages) {
        this.stages = stages;
    }

    ImmutableList<StageAttempt> all() {
        return stages;
    }

    /** Returns true if any stage is neither finished nor abandoned. */
    boolean isAnyAwaited() {
        return stages.stream().anyMatch(stage -> !stage.isOver() && !stage.isAbandoned());
    }

    void callAll(List<RoutedAction> actions) {
        for (StageAttempt stage : stages) {
            actions.add(new RoutedAction.Count(AttemptCounter.STAGE));
            actions.add(new RoutedAction.CallStage(stage));
        }
    }

    /**
     * Abandons and returns the stages whose hosts have been silent for too long.
     *
     * @param waitedNanos the time since the stages were started, without the lag of this host
     */
    ImmutableList<StageAttempt> abandonSilent(long waitedNanos, List<RoutedAction> actions) {
        ImmutableList.Builder<StageAttempt> silent = ImmutableList.builder();
        for (StageAttempt stage : stages) {
            if (stage.isSilent() && waitedNanos >= stage.silenceTimeoutNanos()) {
                stage.abandon();
                actions.add(new RoutedAction.Count(AttemptCounter.STAGE_SILENT));
                actions.add(new RoutedAction.SuspectStage(stage));
                silent.add(stage);
            }
        }
        return silent.build();
    }

    /** Notifies the hosts that are still working that their replies are no longer needed. */
    void abandonRemaining(List<RoutedAction> actions) {
        for (StageAttempt stage : stages) {
            if (!stage.isOver()) {
                actions.add(new RoutedAction.AbandonStage(stage));
            }
        }
    }

    /** Returns when the next stage reaches its silence timeout, if the query waits for any. */
    Optional<Long> nextSilenceTimeoutNanos(long startedNanos, long nowNanos) {
        return stages.stream()
                .filter(StageAttempt::isSilent)
                .map(stage -> Math.max(startedNanos + stage.silenceTimeoutNanos(), nowNanos + MIN_RECHECK_NANOS))
                .min((one, other) -> Long.compare(one - nowNanos, other - nowNanos));
    }

    /** Describes the state of the stages for a log line. */
    String describe() {
        StringBuilder text = new StringBuilder();
        stages.forEach(stage -> text.append("; ").append(stage.describe()));
        return text.toString();
    }
}
