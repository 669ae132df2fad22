package org.bramblerack.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.ForwardedRequest;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.request.routed.RoutedAction;

/** Executes the actions of one request to a single leaf. Owned by the event loop. */
final class ForwardRun implements LeafSender.Listener {
    private static final int MIN_FAILURE_STATUS = 300;

    private final RoutedCall call;
    private final ForwardedRequest request;
    private final LeafSender sender;
    private final CallerAnswers callerAnswers;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final Map<Attempt, LeafAnswer> answers = new HashMap<>();

    ForwardRun(
            RoutedCall call,
            ForwardedRequest request,
            LeafSender sender,
            CallerAnswers caller,
            GatewayMetrics metrics,
            MonotonicClock clock,
            DecisionLog log) {
        this.call = call;
        this.request = request;
        this.sender = sender;
        this.callerAnswers = caller;
        this.metrics = metrics;
        this.clock = clock;
        this.log = log;
    }

    void start() {
        execute(request.start(clock.nowNanos()));
    }

    /** Answers the caller with what is known now. */
    void endNow() {
        execute(request.endNow());
    }

    void callerGone() {
        request.callerGone();
        sender.callerGone();
    }

    @Override
    public void onAnswer(Attempt attempt, LeafAnswer answer) {
        answers.put(attempt, answer);
        if (answer.outcome() == LeafOutcome.SUCCEEDED) {
            execute(request.onAnswer(attempt));
        } else {
            metrics.count(answer.outcome());
            execute(request.onFailure(attempt, answer.outcome(), answer.mayBeForwarded(), clock.nowNanos()));
        }
    }

    @Override
    public void onFailure(Attempt attempt, LeafOutcome outcome) {
        metrics.count(outcome);
        execute(request.onFailure(attempt, outcome, false, clock.nowNanos()));
    }

    private void logOutcome(LeafAnswer answer) {
        boolean late = clock.nowNanos() - call.times().goalNanos() > 0;
        if (answer.status() >= MIN_FAILURE_STATUS) {
            logOutcome("LEAF_ANSWERED_" + answer.status());
        } else if (late) {
            logOutcome("LATE");
        } else {
            log.logNormal(call, "PASSED_ON");
        }
    }

    private void logOutcome(String outcome) {
        log.logDegraded(call, outcome, line -> line.with("tried", request.describe(clock.nowNanos())));
    }

    private void execute(List<RoutedAction> actions) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf callLeaf) {
                metrics.recordCall(
                        callLeaf.attempt().purpose(), callLeaf.attempt().leaf().distance());
                sender.send(callLeaf.attempt(), this);
            } else if (action instanceof RoutedAction.AbandonAttempt abandon) {
                sender.abandon(abandon.attempt());
            } else if (action instanceof RoutedAction.Wake wake) {
                sender.wakeAt(wake.atNanos(), () -> execute(request.wake(clock.nowNanos())));
            } else if (action instanceof RoutedAction.DeliverAnswer deliver) {
                sender.finish();
                LeafAnswer answer = answers.get(deliver.attempt());
                if (answer != null) {
                    callerAnswers.forward(answer);
                    logOutcome(answer);
                }
            } else if (action instanceof RoutedAction.Refuse refuse) {
                sender.finish();
                RefusalReason reason = request.finalRefusalReason(refuse.reason());
                callerAnswers.refuse(reason);
                logOutcome(reason.name());
            } else if (action instanceof RoutedAction.Count count) {
                metrics.count(count.counter());
            }
        }
    }
}
