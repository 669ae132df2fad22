package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.PartReply;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.request.routed.RoutedAction;
import org.bramblerack.request.routed.ScatterQuery;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StageReply;

/** Executes the actions of one scattered query. Owned by the event loop. */
final class ScatterRun implements LeafSender.Listener {
    private static final long LATE_TOLERANCE_NANOS = Duration.ofMillis(5).toNanos();

    private final ScatterQuery query;
    private final LeafSender sender;
    private final AnswerSink sink;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final StageCaller stages;
    private final RoutedCall call;
    private final DecisionLog log;
    private final StageListener stageListener = new StageListener();
    private Runnable onProgress = () -> {};
    private Consumer<ImmutableList<Integer>> onAttemptsWanted = shards -> {};
    private LongConsumer onFinalizedAtGoal = writtenNanos -> {};
    private Runnable onNoShardAnswered = () -> {};

    ScatterRun(
            RoutedCall call,
            ScatterQuery query,
            LeafSender sender,
            StageCaller stages,
            AnswerSink sink,
            GatewayMetrics metrics,
            MonotonicClock clock,
            DecisionLog log) {
        this.call = call;
        this.query = query;
        this.sender = sender;
        this.stages = stages;
        this.sink = sink;
        this.metrics = metrics;
        this.clock = clock;
        this.log = log;
    }

    /** Sets the task that reports progress while the query waits for late shards. */
    void onProgress(Runnable task) {
        onProgress = task;
    }

    /** Sets the consumer of the shards for which the query requests an attempt from the calling host. */
    void onAttemptsWanted(Consumer<ImmutableList<Integer>> consumer) {
        onAttemptsWanted = consumer;
    }

    /** Handles the reply of the calling host to a request for attempts. */
    void onAttemptsAnswered(List<Integer> granted, List<Integer> denied) {
        execute(query.onAttemptsAnswered(granted, denied, clock.nowNanos()));
    }

    /** Sets the consumer of the time at which an answer that was finalized at the goal was written. */
    void onFinalizedAtGoal(LongConsumer consumer) {
        onFinalizedAtGoal = consumer;
    }

    /** Sets the task that runs if the query ended because leaf connections were lost and no shard answered. */
    void onNoShardAnswered(Runnable task) {
        onNoShardAnswered = task;
    }

    void start() {
        execute(query.start(clock.nowNanos()));
        if (query.isAwaitingStages()) {
            // Without a progress report the calling host would treat the longer silence of a forwarded call as a
            // failure and make its own attempt needlessly.
            onProgress.run();
        }
    }

    private void wake() {
        execute(query.wake(clock.nowNanos()));
        if (!query.isOver()) {
            onProgress.run();
        }
    }

    /** Ends the query with the parts that are in. */
    void endNow() {
        execute(query.endNow());
    }

    void callerGone() {
        execute(query.callerGone());
        sender.callerGone();
    }

    boolean isOver() {
        return query.isOver();
    }

    ImmutableList<Integer> hedgedShards() {
        return query.hedgedShards();
    }

    @Override
    public void onAnswer(Attempt attempt, LeafAnswer answer) {
        if (answer.outcome() == LeafOutcome.SUCCEEDED) {
            PartReply part = new PartReply(answer.signature().orElseThrow(), answer.body());
            execute(query.onAnswer(attempt, part, clock.nowNanos()));
        } else {
            onFailure(attempt, answer.outcome());
        }
    }

    @Override
    public void onFailure(Attempt attempt, LeafOutcome outcome) {
        metrics.count(outcome);
        execute(query.onFailure(attempt, outcome, clock.nowNanos()));
    }

    /** Applies the events of the stages to the query. */
    private final class StageListener implements StageCaller.Listener {
        @Override
        public void onProgress(StageAttempt stage, List<Integer> hedgedShards) {
            execute(query.onStageProgress(stage, hedgedShards));
            if (!query.isOver()) {
                onProgress.run();
            }
        }

        @Override
        public void onAttemptsRequested(StageAttempt stage, List<Integer> shards) {
            execute(query.onAttemptsRequested(stage, shards, clock.nowNanos()));
        }

        @Override
        public void onPartial(StageAttempt stage, StageReply partial) {
            execute(query.onStagePartial(stage, partial, clock.nowNanos()));
        }

        @Override
        public void onReply(StageAttempt stage, StageReply reply) {
            execute(query.onStageReply(stage, reply, clock.nowNanos()));
        }

        @Override
        public void onFailure(StageAttempt stage, boolean notRun) {
            execute(query.onStageFailure(stage, notRun, clock.nowNanos()));
        }
    }

    /** Logs the outcome of the query, and for a degraded one the missing shards and the attempts made. */
    private void logOutcome(MergedAnswer answer) {
        boolean late = clock.nowNanos() - call.times().goalNanos() > LATE_TOLERANCE_NANOS;
        if (answer.missing() == 0 && !late) {
            log.logNormal(call, "WHOLE");
        } else {
            logOutcome(answer.missing() > 0 ? "PARTIAL" : "LATE", answer.missing());
        }
    }

    private void logOutcome(String outcome, int missing) {
        log.logDegraded(
                call,
                outcome,
                line -> line.with("missing", missing)
                        .with("tried", query.describeMissing(clock.nowNanos()))
                        .with("onBehalfOf", sink.onBehalfOf()));
    }

    private void logSilence(StageAttempt stage) {
        log.logEvent(
                call,
                "stage_silent",
                line -> line.with("host", stage.host())
                        .with("shards", stage.shards().size())
                        .with("onBehalfOf", sink.onBehalfOf()));
    }

    private void logExceeded(RoutedAction.ReportExceeded exceeded) {
        log.logEvent(
                call,
                "attempts_exceeded",
                line -> line.with("host", exceeded.stage().host())
                        .with("tried", query.describe(exceeded.shards(), clock.nowNanos()))
                        .with("onBehalfOf", sink.onBehalfOf()));
    }

    /**
     * Reports hedged shards before the final reply: a calling host of an older version must not make a third attempt
     * after a retry that started between wake-ups.
     */
    private void reportHedgedShards() {
        if (!query.hedgedShards().isEmpty()) {
            onProgress.run();
        }
    }

    private void execute(List<RoutedAction> actions) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf callLeaf) {
                metrics.recordCall(
                        callLeaf.attempt().purpose(), callLeaf.attempt().leaf().distance());
                sender.send(callLeaf.attempt(), this);
            } else if (action instanceof RoutedAction.CallStage callStage) {
                stages.call(callStage.stage(), stageListener);
            } else if (action instanceof RoutedAction.SuspectStage suspect) {
                stages.suspect(suspect.stage());
                logSilence(suspect.stage());
            } else if (action instanceof RoutedAction.AbandonStage abandon) {
                if (stages.abandon(abandon.stage())) {
                    query.onStageNeverSent(abandon.stage());
                }
            } else if (action instanceof RoutedAction.AbandonAttempt abandon) {
                sender.abandon(abandon.attempt());
            } else if (action instanceof RoutedAction.RecordLeafFailure failure) {
                sender.recordLeafFailure(failure.attempt());
            } else if (action instanceof RoutedAction.Wake wake) {
                sender.wakeAt(wake.atNanos(), this::wake);
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                sender.finish();
                reportHedgedShards();
                logOutcome(deliver.answer());
                sink.deliver(deliver.answer());
                if (query.wasFinalizedAtGoal()) {
                    onFinalizedAtGoal.accept(clock.nowNanos());
                }
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                sink.deliverPartial(deliver.partial());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                sender.finish();
                reportHedgedShards();
                RefusalReason reason = query.finalRefusalReason(refuse.reason());
                logOutcome(reason.name(), query.missingShardCount());
                if (reason == RefusalReason.TOO_FEW_SHARDS && query.noShardAnswered()) {
                    onNoShardAnswered.run();
                }
                sink.refuse(reason);
            } else if (action instanceof RoutedAction.RequestAttempts request) {
                onAttemptsWanted.accept(request.shards());
            } else if (action instanceof RoutedAction.AnswerAttemptRequest answer) {
                stages.answerAttemptRequest(answer);
            } else if (action instanceof RoutedAction.ReportExceeded exceeded) {
                logExceeded(exceeded);
            } else if (action instanceof RoutedAction.Count count) {
                metrics.count(count.counter());
            }
        }
    }
}
