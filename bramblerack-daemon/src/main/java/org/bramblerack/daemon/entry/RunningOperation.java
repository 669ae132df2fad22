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
 * Executes the actions of one attempt at a once-only request.
 *
 * <p>Safe for use by many threads: every event holds the request's lock, the first in the lock order. The result is
 * delivered exactly once, without the lock held.
 */
final class RunningOperation {
    private static final int POOL_SHARD = 0;

    private final OnceOnlyRequest request;
    private final CallerOperation callerOperation;
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
            CallerOperation callerOperation,
            Operation operation,
            String attempt,
            LeafRouter router,
            OutcomeRecorder recorder,
            Workers workers,
            MonotonicClock clock,
            HostMetrics metrics,
            Consumer<QueryResult> done) {
        this.request = request;
        this.callerOperation = callerOperation;
        this.operation = operation;
        this.attempt = attempt;
        this.router = router;
        this.recorder = recorder;
        this.workers = workers;
        this.clock = clock;
        this.metrics = metrics;
        this.done = done;
    }

    /** Proposes the claim of the request. */
    @FunctionalInterface
    interface Claimer {
        void claim(Consumer<ClaimResult> onResult);
    }

    void start(Claimer claimer) {
        handle(nowNanos -> request.start(), claimer);
    }

    private void onClaimResult(ClaimResult result) {
        handle(nowNanos -> request.onClaimResult(result, nowNanos));
    }

    private void onOutcome(LeafOutcome outcome) {
        if (outcome instanceof LeafOutcome.Replied replied) {
            handle(nowNanos -> request.onReply(replied.reply(), nowNanos));
        } else if (outcome instanceof LeafOutcome.Failed failed) {
            metrics.count(failed.failure());
            handle(nowNanos -> request.onFailure(failed.failure(), nowNanos));
        }
    }

    private void handle(Event event) {
        handle(event, unused -> {});
    }

    private void handle(Event event, Claimer claimer) {
        lock.lock();
        try {
            for (OnceOnlyAction action : event.at(clock.nowNanos())) {
                execute(action, claimer);
            }
        } finally {
            lock.unlock();
        }
    }

    private void execute(OnceOnlyAction action, Claimer claimer) {
        if (action instanceof OnceOnlyAction.Claim) {
            claimer.claim(this::onClaimResult);
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
                callerOperation.requestId().value(),
                dispatch.upstream(),
                POOL_SHARD,
                0,
                operation.priority(),
                dispatch.deadlineNanos(),
                operation.name(),
                callerOperation.body());
        router.send(call, this::onOutcome);
    }

    private void recordRan(ByteString answer) {
        boolean fits = answer.size() <= OnceOnlyRunner.MAX_STORED_ANSWER_BYTES;
        String reason = fits ? "" : "the answer of " + answer.size() + " bytes was too long to be kept";
        record(OutcomeKind.RAN, fits ? answer : ByteString.EMPTY, reason);
    }

    private void record(OutcomeKind kind, ByteString answer, String reason) {
        RecordOutcome outcome = RecordOutcome.newBuilder()
                .setService(callerOperation.service().toString())
                .setRequestId(callerOperation.requestId().value())
                .setAttempt(attempt)
                .setKind(kind)
                .setAnswer(answer)
                .setReason(reason)
                .build();
        recorder.record(outcome, () -> workers.run(() -> handle(nowNanos -> request.onRecorded())));
    }

    /** An event of the request, handled under its lock. */
    @FunctionalInterface
    private interface Event {
        List<OnceOnlyAction> at(long nowNanos);
    }
}
