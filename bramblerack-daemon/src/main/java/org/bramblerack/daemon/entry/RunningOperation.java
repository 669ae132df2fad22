package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.ClaimResult;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.request.OnceOnlyAction;
import org.bramblerack.request.OnceOnlyRequest;
import org.bramblerack.version.Operation;
import org.bramblerack.wire.OutcomeKind;
import org.bramblerack.wire.RecordOutcome;

/**
 * Carries out the decisions of one attempt at a once-only request.
 *
 * <p>Safe for use by many threads: every event takes the request's lock, the first of the lock order. The result is
 * delivered exactly once, outside of the lock.
 */
final class RunningOperation {
    private static final int SHARD_OF_A_POOL = 0;

    private final OnceOnlyRequest request;
    private final CallerOperation asked;
    private final Operation operation;
    private final String attempt;
    private final LeafRouter router;
    private final OutcomeRecorder recorder;
    private final Workers workers;
    private final MonotonicClock clock;
    private final HostMetrics metrics;
    private final Consumer<QueryResult> done;
    private final ReentrantLock lock = new ReentrantLock();

    RunningOperation(
            OnceOnlyRequest request,
            CallerOperation asked,
            Operation operation,
            String attempt,
            LeafRouter router,
            OutcomeRecorder recorder,
            Workers workers,
            MonotonicClock clock,
            HostMetrics metrics,
            Consumer<QueryResult> done) {
        this.request = request;
        this.asked = asked;
        this.operation = operation;
        this.attempt = attempt;
        this.router = router;
        this.recorder = recorder;
        this.workers = workers;
        this.clock = clock;
        this.metrics = metrics;
        this.done = done;
    }

    /** How the claim is asked for. */
    @FunctionalInterface
    interface Claiming {
        void claim(Consumer<ClaimResult> decided);
    }

    void start(Claiming claiming) {
        handle(nowNanos -> request.start(), claiming);
    }

    private void claimed(ClaimResult verdict) {
        handle(nowNanos -> request.onClaimResult(verdict, nowNanos));
    }

    private void ended(LeafOutcome outcome) {
        if (outcome instanceof LeafOutcome.Replied replied) {
            handle(nowNanos -> request.onReply(replied.reply(), nowNanos));
        } else if (outcome instanceof LeafOutcome.Failed failed) {
            metrics.count(failed.failure());
            handle(nowNanos -> request.onFailure(failed.failure(), nowNanos));
        }
    }

    private void handle(Decision decision) {
        handle(decision, decided -> {});
    }

    private void handle(Decision decision, Claiming claiming) {
        lock.lock();
        try {
            for (OnceOnlyAction action : decision.at(clock.nowNanos())) {
                carryOut(action, claiming);
            }
        } finally {
            lock.unlock();
        }
    }

    private void carryOut(OnceOnlyAction action, Claiming claiming) {
        if (action instanceof OnceOnlyAction.Claim) {
            claiming.claim(this::claimed);
        } else if (action instanceof OnceOnlyAction.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (action instanceof OnceOnlyAction.CancelDispatch cancel) {
            router.cancel(cancel.callId(), cancel.upstream());
        } else if (action instanceof OnceOnlyAction.RecordRan ran) {
            recordRan(ran.answer());
        } else if (action instanceof OnceOnlyAction.RecordNotRun notRun) {
            record(OutcomeKind.NOT_RUN, ByteString.EMPTY, notRun.reason());
        } else if (action instanceof OnceOnlyAction.RecordUnknown unknown) {
            record(OutcomeKind.UNKNOWN, ByteString.EMPTY, unknown.reason());
        } else if (action instanceof OnceOnlyAction.Wake wake) {
            workers.runAfter(wake.atNanos() - clock.nowNanos(), () -> handle(request::wake));
        } else if (action instanceof OnceOnlyAction.DeliverRan ran) {
            workers.run(() -> done.accept(new QueryResult.Ran(ran.answer(), ran.replayed())));
        } else if (action instanceof OnceOnlyAction.Refuse refuse) {
            workers.run(() -> done.accept(new QueryResult.Refused(refuse.refusal())));
        }
    }

    private void dispatch(OnceOnlyAction.Dispatch dispatch) {
        LeafRequest call = new LeafRequest(
                dispatch.callId(),
                asked.requestId().value(),
                dispatch.upstream(),
                SHARD_OF_A_POOL,
                0,
                operation.priority(),
                dispatch.deadlineNanos(),
                operation.name(),
                asked.body());
        router.send(call, this::ended);
    }

    private void recordRan(ByteString answer) {
        boolean fits = answer.size() <= OnceOnlyRunner.LONGEST_KEPT_ANSWER_BYTES;
        String reason = fits ? "" : "the answer of " + answer.size() + " bytes was too long to be kept";
        record(OutcomeKind.RAN, fits ? answer : ByteString.EMPTY, reason);
    }

    private void record(OutcomeKind kind, ByteString answer, String reason) {
        RecordOutcome outcome = RecordOutcome.newBuilder()
                .setService(asked.service().toString())
                .setRequestId(asked.requestId().value())
                .setAttempt(attempt)
                .setKind(kind)
                .setAnswer(answer)
                .setReason(reason)
                .build();
        recorder.record(outcome, () -> workers.run(() -> handle(nowNanos -> request.onRecorded())));
    }

    /** One event of the request at a time. */
    @FunctionalInterface
    private interface Decision {
        List<OnceOnlyAction> at(long nowNanos);
    }
}
