package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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

/** Carries out the decisions of one scattered query. Owned by the event loop. */
final class ScatterRun implements LeafSender.Taker {
    private static final long LATE_SLACK_NANOS = Duration.ofMillis(5).toNanos();

    private final ScatterQuery query;
    private final LeafSender sender;
    private final AnswerSink sink;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final StageCaller stages;
    private final RoutedCall call;
    private final DecisionLog log;
    private final StageEvents stageTaker = new StageEvents();
    private Runnable onStillAtWork = () -> {};
    private LongConsumer onSealedAtGoal = writtenNanos -> {};
    private Runnable onLostWhole = () -> {};

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

    /** Sets what to do when shards are late and the query is still at work. */
    void onStillAtWork(Runnable task) {
        onStillAtWork = task;
    }

    /** Sets what to tell when an answer that had waited for the goal was written. */
    void onSealedAtGoal(LongConsumer taker) {
        onSealedAtGoal = taker;
    }

    /** Sets what to do if the query was sent, broke, and no leaf of any shard has answered it. */
    void onLostWhole(Runnable task) {
        onLostWhole = task;
    }

    void start() {
        carryOut(query.start(clock.nowNanos()));
        if (query.isAwaitingStages()) {
            // The host that asked would take the longer silence of a call that was passed on for a failure, and make
            // an attempt that the last host makes as well.
            onStillAtWork.run();
        }
    }

    private void wake() {
        carryOut(query.wake(clock.nowNanos()));
        if (!query.isOver()) {
            onStillAtWork.run();
        }
    }

    void callerGone() {
        carryOut(query.callerGone());
        sender.callerGone();
    }

    boolean isOver() {
        return query.isOver();
    }

    ImmutableList<Integer> askedTwice() {
        return query.hedgedShards();
    }

    @Override
    public void answered(Attempt attempt, LeafAnswer answer) {
        Optional<String> signature = answer.signature();
        if (answer.outcome() == LeafOutcome.SUCCEEDED && signature.isPresent()) {
            PartReply part = new PartReply(signature.get(), answer.body());
            carryOut(query.onAnswer(attempt, part, clock.nowNanos()));
        } else {
            LeafOutcome outcome = answer.outcome() == LeafOutcome.SUCCEEDED ? LeafOutcome.FAILED : answer.outcome();
            failed(attempt, outcome);
        }
    }

    @Override
    public void failed(Attempt attempt, LeafOutcome outcome) {
        metrics.count(outcome);
        carryOut(query.onFailure(attempt, outcome, clock.nowNanos()));
    }

    /** Takes what comes of the shards that other hosts ask. */
    private final class StageEvents implements StageCaller.Taker {
        @Override
        public void progressed(StageAttempt stage, List<Integer> askedTwice) {
            query.onStageProgress(stage, askedTwice);
            if (!query.isOver()) {
                onStillAtWork.run();
            }
        }

        @Override
        public void brought(StageAttempt stage, StageReply piece) {
            carryOut(query.onStagePartial(stage, piece, clock.nowNanos()));
        }

        @Override
        public void answered(StageAttempt stage, StageReply reply) {
            carryOut(query.onStageReply(stage, reply, clock.nowNanos()));
        }

        @Override
        public void failed(StageAttempt stage, boolean notRun) {
            carryOut(query.onStageFailure(stage, notRun, clock.nowNanos()));
        }
    }

    /** Logs how the query ended, what its answer lacks, and what was tried for that. */
    private void explain(MergedAnswer answer) {
        boolean late = clock.nowNanos() - call.times().goalNanos() > LATE_SLACK_NANOS;
        if (answer.missing() == 0 && !late) {
            log.ordinary(call, "WHOLE");
        } else {
            explain(answer.missing() > 0 ? "PARTIAL" : "LATE", answer.missing());
        }
    }

    private void explain(String outcome, int missing) {
        log.imperfect(
                call,
                outcome,
                line -> line.with("missing", missing)
                        .with("tried", query.describeMissing(clock.nowNanos()))
                        .with("onBehalfOf", sink.onBehalfOf()));
    }

    /** Before the last reply: retries are made between wakes, and the host that asked must not make a third attempt. */
    private void sayWhatWasAskedTwice() {
        if (!query.hedgedShards().isEmpty()) {
            onStillAtWork.run();
        }
    }

    private void carryOut(List<RoutedAction> actions) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf ask) {
                metrics.recordCall(ask.attempt().purpose(), ask.attempt().leaf().distance());
                sender.send(ask.attempt(), this);
            } else if (action instanceof RoutedAction.CallStage ask) {
                stages.call(ask.stage(), stageTaker);
            } else if (action instanceof RoutedAction.SuspectStage suspect) {
                stages.suspect(suspect.stage());
            } else if (action instanceof RoutedAction.AbandonStage giveUp) {
                if (stages.giveUp(giveUp.stage())) {
                    query.onStageNeverSent(giveUp.stage());
                }
            } else if (action instanceof RoutedAction.AbandonAttempt giveUp) {
                sender.giveUp(giveUp.attempt());
            } else if (action instanceof RoutedAction.Wake wake) {
                sender.wakeAt(wake.atNanos(), this::wake);
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                sender.finish();
                sayWhatWasAskedTwice();
                explain(deliver.answer());
                sink.deliver(deliver.answer());
                if (query.wasFinalizedAtGoal()) {
                    onSealedAtGoal.accept(clock.nowNanos());
                }
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                sink.deliverPiece(deliver.partial());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                sender.finish();
                sayWhatWasAskedTwice();
                RefusalReason reason = query.finalRefusalReason(refuse.reason());
                explain(reason.name(), query.missingShardCount());
                if (reason == RefusalReason.TOO_FEW_SHARDS && query.noShardAnswered()) {
                    onLostWhole.run();
                }
                sink.refuse(reason);
            } else if (action instanceof RoutedAction.Count count) {
                metrics.count(count.counter());
            }
        }
    }
}
