package org.bramblerack.request;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bramblerack.process.UpstreamEvidence;
import org.bramblerack.version.UpstreamName;
import org.jspecify.annotations.Nullable;

/**
 * The state machine of one attempt at a once-only request.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Nothing is dispatched before the claim is granted, nor after the caller was answered {@code not run}.
 *   <li>At most one call is in flight; another is dispatched only if the previous one certainly did not run.
 *   <li>A call that may have run is never repeated; its outcome is unknown until a reply arrives.
 *   <li>Only the attempt itself records that it did not run. A claim granted after the attempt ended is released
 *       unused.
 * </ul>
 *
 * <p>Not thread-safe: the owner holds a lock per request, which comes first in the lock order.
 */
public final class OnceOnlyRequest {
    private static final int MAX_DISPATCHES = 3;
    /** The time reserved for cancelling the call is the time to the deadline divided by this. */
    private static final int CANCEL_MARGIN_DIVISOR = 8;

    private static final long MAX_CANCEL_MARGIN_NANOS = Duration.ofMillis(500).toNanos();
    private static final int POOL_SHARD = 0;
    private static final int POOL_SHARD_COUNT = 1;

    private enum Stage {
        CLAIMING,
        DISPATCHED,
        CANCELLING,
        RECORDING,
        DONE
    }

    private final String callIdPrefix;
    private final ImmutableList<UpstreamName> pool;
    private final ServiceTables tables;
    private final RandomGenerator random;
    private final long deadlineNanos;
    private final long dispatchDeadlineNanos;
    private final Set<UpstreamName> refusingUpstreams = new HashSet<>();
    private Stage stage = Stage.CLAIMING;
    private boolean claimed;
    private boolean answered;
    private int dispatchCount;
    private long sentNanos;
    private @Nullable UpstreamName upstream;
    private @Nullable OnceOnlyAction pendingAnswer;

    /**
     * Creates an attempt, to be begun with {@link #start}.
     *
     * @param callIdPrefix the prefix of the call identifiers, unique among all attempts of all processes
     * @param pool the upstreams that may run the request
     * @param nowNanos the current time
     * @param deadlineNanos when the caller must be answered
     */
    public OnceOnlyRequest(
            String callIdPrefix,
            ImmutableList<UpstreamName> pool,
            ServiceTables tables,
            RandomGenerator random,
            long nowNanos,
            long deadlineNanos) {
        this.callIdPrefix = callIdPrefix;
        this.pool = pool;
        this.tables = tables;
        this.random = random;
        this.deadlineNanos = deadlineNanos;
        long cancelMarginNanos = Math.min(MAX_CANCEL_MARGIN_NANOS, (deadlineNanos - nowNanos) / CANCEL_MARGIN_DIVISOR);
        this.dispatchDeadlineNanos = deadlineNanos - cancelMarginNanos;
    }

    /** Starts the attempt by requesting the claim. */
    public List<OnceOnlyAction> start() {
        return List.of(new OnceOnlyAction.Claim(), new OnceOnlyAction.Wake(deadlineNanos));
    }

    /** Handles the result of the claim: dispatches the request, or answers the caller. */
    public List<OnceOnlyAction> onClaimResult(ClaimResult result, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage != Stage.CLAIMING) {
            if (result instanceof ClaimResult.Granted && !claimed) {
                claimed = true;
                actions.add(new OnceOnlyAction.RecordNotRun("the claim came after the attempt had given up"));
            }
            return actions;
        }
        if (result instanceof ClaimResult.Granted) {
            claimed = true;
            dispatch(nowNanos, actions);
        } else if (result instanceof ClaimResult.AlreadyRan ran) {
            finish(new OnceOnlyAction.DeliverRan(ran.answer(), true), actions);
        } else {
            finish(new OnceOnlyAction.Refuse(refusalFor(result)), actions);
        }
        return actions;
    }

    /** Handles a reply; one that arrives after the caller was answered is still recorded. */
    public List<OnceOnlyAction> onReply(LeafReply reply, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (dispatchCount == 0) {
            return actions;
        }
        Either<LeafFailure, CheckedReply> checked =
                CheckedReply.check(reply, currentCallId(), reply.served().indexVersion(), POOL_SHARD, POOL_SHARD_COUNT);
        if (checked.isLeft()) {
            return onFailure(checked.getLeft(), nowNanos);
        }
        ByteString payload = checked.get().payload();
        if (stage == Stage.DONE) {
            actions.add(new OnceOnlyAction.RecordRan(payload));
        } else if (stage != Stage.RECORDING) {
            long tookNanos = nowNanos - sentNanos;
            evidence().ifPresent(evidence -> evidence.succeeded(tookNanos, nowNanos));
            startRecording(
                    new OnceOnlyAction.RecordRan(payload), new OnceOnlyAction.DeliverRan(payload, false), actions);
        }
        return actions;
    }

    /** Handles the failure of the call in flight: dispatches again if it certainly did not run. */
    public List<OnceOnlyAction> onFailure(LeafFailure failure, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage != Stage.DISPATCHED && stage != Stage.CANCELLING) {
            return actions;
        }
        evidence().ifPresent(evidence -> failure.recordIn(evidence, nowNanos));
        if (!failure.isCertainlyNotRun()) {
            recordUnknown("the call ended with " + failure.code() + " after it was handed over", actions);
            return actions;
        }
        if (failure == LeafFailure.HARMFUL) {
            recordNotRun(RefusalKind.HARMFUL, "requests like it ended the upstreams that ran them", actions);
            return actions;
        }
        if (upstream != null) {
            refusingUpstreams.add(upstream);
        }
        if (stage == Stage.DISPATCHED
                && dispatchCount < MAX_DISPATCHES
                && tables.budget().tryWithdraw()) {
            dispatch(nowNanos, actions);
        } else {
            recordNotRun(RefusalKind.UPSTREAM_REFUSED, "the upstream refused with " + failure.code(), actions);
        }
        return actions;
    }

    /** Answers the caller once the outcome is recorded in the replicated state. */
    public List<OnceOnlyAction> onRecorded() {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage == Stage.RECORDING && pendingAnswer != null) {
            finish(pendingAnswer, actions);
        }
        return actions;
    }

    /** Cancels the call when its dispatch deadline has passed, and answers the caller at the deadline. */
    public List<OnceOnlyAction> wake(long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage == Stage.DISPATCHED && nowNanos - dispatchDeadlineNanos >= 0 && upstream != null) {
            stage = Stage.CANCELLING;
            actions.add(new OnceOnlyAction.CancelDispatch(currentCallId(), upstream));
        }
        if (nowNanos - deadlineNanos < 0) {
            return actions;
        }
        switch (stage) {
            case CLAIMING -> {
                actions.add(new OnceOnlyAction.RecordNotRun("the claim was not agreed within the deadline"));
                finish(
                        new OnceOnlyAction.Refuse(
                                refusalFor(new ClaimResult.NoQuorum("no decision within the deadline"))),
                        actions);
            }
            case DISPATCHED, CANCELLING -> {
                evidence().ifPresent(evidence -> evidence.failed(nowNanos));
                recordUnknown("no reply within the deadline", actions);
                actions.addAll(onRecorded());
            }
            case RECORDING -> actions.addAll(onRecorded());
            default -> {
                // The caller was already answered.
            }
        }
        return actions;
    }

    public boolean isAnswered() {
        return answered;
    }

    private void dispatch(long nowNanos, List<OnceOnlyAction> actions) {
        if (nowNanos - dispatchDeadlineNanos >= 0) {
            recordNotRun(RefusalKind.DEADLINE_TOO_SHORT, "no time was left to hand the request over", actions);
            return;
        }
        Optional<UpstreamName> choice =
                tables.upstreams().choose(pool, candidate -> !refusingUpstreams.contains(candidate), random, nowNanos);
        if (choice.isEmpty()) {
            recordNotRun(RefusalKind.UPSTREAM_REFUSED, "no upstream is left that takes new work", actions);
            return;
        }
        if (dispatchCount == 0) {
            tables.budget().deposit(1);
            actions.add(new OnceOnlyAction.Wake(dispatchDeadlineNanos));
        }
        dispatchCount++;
        stage = Stage.DISPATCHED;
        upstream = choice.get();
        sentNanos = nowNanos;
        evidence().ifPresent(UpstreamEvidence::started);
        actions.add(new OnceOnlyAction.Dispatch(currentCallId(), choice.get(), dispatchDeadlineNanos));
    }

    private void recordNotRun(RefusalKind kind, String reason, List<OnceOnlyAction> actions) {
        startRecording(
                new OnceOnlyAction.RecordNotRun(reason),
                new OnceOnlyAction.Refuse(Refusal.of(kind, reason + "; it did not run, send the request again")),
                actions);
    }

    private void recordUnknown(String reason, List<OnceOnlyAction> actions) {
        startRecording(
                new OnceOnlyAction.RecordUnknown(reason),
                new OnceOnlyAction.Refuse(refusalFor(new ClaimResult.OutcomeUnknown(reason))),
                actions);
    }

    private void startRecording(OnceOnlyAction outcome, OnceOnlyAction answer, List<OnceOnlyAction> actions) {
        stage = Stage.RECORDING;
        pendingAnswer = answer;
        actions.add(outcome);
    }

    private void finish(OnceOnlyAction answer, List<OnceOnlyAction> actions) {
        stage = Stage.DONE;
        answered = true;
        actions.add(answer);
    }

    private Optional<UpstreamEvidence> evidence() {
        return Optional.ofNullable(upstream).flatMap(tables.upstreams()::find);
    }

    private String currentCallId() {
        return callIdPrefix + "-" + dispatchCount;
    }

    private static Refusal refusalFor(ClaimResult result) {
        if (result instanceof ClaimResult.HeldByAnother) {
            return Refusal.of(RefusalKind.IN_PROGRESS, "another attempt is running the request; look up its outcome");
        }
        if (result instanceof ClaimResult.OutcomeUnknown unknown) {
            return Refusal.of(
                    RefusalKind.OUTCOME_UNKNOWN,
                    "it is not known whether the request ran (" + unknown.reason()
                            + "); it will not be run again, check with the service before using a new identifier");
        }
        if (result instanceof ClaimResult.Mismatch) {
            return Refusal.of(
                    RefusalKind.REQUEST_MISMATCH,
                    "the request identifier was used for another request; use a new identifier");
        }
        if (result instanceof ClaimResult.Expired) {
            return Refusal.of(
                    RefusalKind.EXPIRED,
                    "the request is older than outcomes are kept and is not run; check with the service");
        }
        String reason = result instanceof ClaimResult.NoQuorum noQuorum ? noQuorum.reason() : "not granted";
        return Refusal.of(
                RefusalKind.NO_QUORUM,
                "the control hosts did not confirm the claim (" + reason + "); it did not run, send it again");
    }
}
