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
 * The decisions of one attempt at a once-only request.
 *
 * <p>Invariants: nothing is dispatched before the claim is granted, nor after the caller was told {@code not run}. At
 * most one call is in flight, and a second one is dispatched only after the first certainly did not run. A call that
 * may have run is never repeated: its outcome is unknown until a reply proves otherwise. The attempt alone decides that
 * it did not run; a claim granted after the attempt gave up is given back, never used.
 *
 * <p>Not safe for use by several threads: the caller holds a lock of its own for each request, which comes first in the
 * lock order.
 */
public final class OnceOnlyRequest {
    private static final int MAX_DISPATCHES = 3;
    private static final int CANCEL_SHARE_DIVISOR = 8;
    private static final long LONGEST_CANCEL_NANOS = Duration.ofMillis(500).toNanos();
    private static final int SHARD_OF_A_POOL = 0;
    private static final int SHARDS_OF_A_POOL = 1;

    /** How far the attempt has come. */
    private enum Stage {
        CLAIMING,
        DISPATCHED,
        CANCELLING,
        RECORDING,
        OVER
    }

    private final String callPrefix;
    private final ImmutableList<UpstreamName> pool;
    private final ServiceTables tables;
    private final RandomGenerator random;
    private final long deadlineNanos;
    private final long dispatchDeadlineNanos;
    private final Set<UpstreamName> refused = new HashSet<>();
    private Stage stage = Stage.CLAIMING;
    private boolean claimed;
    private boolean answered;
    private int dispatches;
    private long sentNanos;
    private @Nullable UpstreamName upstream;
    private @Nullable OnceOnlyAction afterRecording;

    /**
     * Creates an attempt; nothing happens before {@link #start}.
     *
     * @param callPrefix begins the identifiers of the calls; unique among all attempts of all processes
     * @param pool the upstreams that may run the request
     * @param nowNanos the present time
     * @param deadlineNanos when the caller must have its answer
     */
    public OnceOnlyRequest(
            String callPrefix,
            ImmutableList<UpstreamName> pool,
            ServiceTables tables,
            RandomGenerator random,
            long nowNanos,
            long deadlineNanos) {
        this.callPrefix = callPrefix;
        this.pool = pool;
        this.tables = tables;
        this.random = random;
        this.deadlineNanos = deadlineNanos;
        long cancelNanos = Math.min(LONGEST_CANCEL_NANOS, (deadlineNanos - nowNanos) / CANCEL_SHARE_DIVISOR);
        this.dispatchDeadlineNanos = deadlineNanos - cancelNanos;
    }

    /** Begins: asks for the claim. */
    public List<OnceOnlyAction> start() {
        return List.of(new OnceOnlyAction.Claim(), new OnceOnlyAction.Wake(deadlineNanos));
    }

    /** Takes what the agreed state says to the claim. */
    public List<OnceOnlyAction> onClaimResult(ClaimResult verdict, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage != Stage.CLAIMING) {
            if (verdict instanceof ClaimResult.Granted && !claimed) {
                claimed = true;
                actions.add(new OnceOnlyAction.RecordNotRun("the claim came after the attempt had given up"));
            }
            return actions;
        }
        if (verdict instanceof ClaimResult.Granted) {
            claimed = true;
            dispatch(nowNanos, actions);
        } else if (verdict instanceof ClaimResult.AlreadyRan ran) {
            finish(new OnceOnlyAction.DeliverRan(ran.answer(), true), actions);
        } else {
            finish(new OnceOnlyAction.Refuse(refusalFor(verdict)), actions);
        }
        return actions;
    }

    /** Takes a reply as it arrived, in time or late. */
    public List<OnceOnlyAction> onReply(LeafReply reply, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (dispatches == 0) {
            return actions;
        }
        Either<LeafFailure, CheckedReply> checked = CheckedReply.check(
                reply, currentCallId(), reply.served().indexVersion(), SHARD_OF_A_POOL, SHARDS_OF_A_POOL);
        if (checked.isLeft()) {
            return onFailure(checked.getLeft(), nowNanos);
        }
        ByteString payload = checked.get().payload();
        if (stage == Stage.OVER) {
            actions.add(new OnceOnlyAction.RecordRan(payload));
        } else if (stage != Stage.RECORDING) {
            long tookNanos = nowNanos - sentNanos;
            evidence().ifPresent(known -> known.succeeded(tookNanos, nowNanos));
            record(new OnceOnlyAction.RecordRan(payload), new OnceOnlyAction.DeliverRan(payload, false), actions);
        }
        return actions;
    }

    /** Takes the failure of the call in flight. */
    public List<OnceOnlyAction> onFailure(LeafFailure failure, long nowNanos) {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage != Stage.DISPATCHED && stage != Stage.CANCELLING) {
            return actions;
        }
        evidence().ifPresent(known -> failure.recordIn(known, nowNanos));
        if (!failure.isCertainlyNotRun()) {
            recordUnknown("the call ended with " + failure.code() + " after it was handed over", actions);
            return actions;
        }
        if (failure == LeafFailure.HARMFUL) {
            recordNotRun(RefusalKind.HARMFUL, "requests like it ended the upstreams that ran them", actions);
            return actions;
        }
        if (upstream != null) {
            refused.add(upstream);
        }
        if (stage == Stage.DISPATCHED
                && dispatches < MAX_DISPATCHES
                && tables.budget().tryWithdraw()) {
            dispatch(nowNanos, actions);
        } else {
            recordNotRun(RefusalKind.UPSTREAM_REFUSED, "the upstream refused with " + failure.code(), actions);
        }
        return actions;
    }

    /** Takes the news that the outcome is agreed. */
    public List<OnceOnlyAction> onRecorded() {
        List<OnceOnlyAction> actions = new ArrayList<>();
        if (stage == Stage.RECORDING && afterRecording != null) {
            finish(afterRecording, actions);
        }
        return actions;
    }

    /** Looks at the time. */
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
                evidence().ifPresent(known -> known.failed(nowNanos));
                recordUnknown("no reply within the deadline", actions);
                actions.addAll(onRecorded());
            }
            case RECORDING -> actions.addAll(onRecorded());
            default -> {
                // The caller has its answer.
            }
        }
        return actions;
    }

    /** Returns true once the caller has its answer. */
    public boolean isAnswered() {
        return answered;
    }

    private void dispatch(long nowNanos, List<OnceOnlyAction> actions) {
        if (nowNanos - dispatchDeadlineNanos >= 0) {
            recordNotRun(RefusalKind.DEADLINE_TOO_SHORT, "no time was left to hand the request over", actions);
            return;
        }
        Optional<UpstreamName> choice =
                tables.upstreams().choose(pool, candidate -> !refused.contains(candidate), random, nowNanos);
        if (choice.isEmpty()) {
            recordNotRun(RefusalKind.UPSTREAM_REFUSED, "no upstream is left that takes new work", actions);
            return;
        }
        if (dispatches == 0) {
            tables.budget().deposit(1);
            actions.add(new OnceOnlyAction.Wake(dispatchDeadlineNanos));
        }
        dispatches++;
        stage = Stage.DISPATCHED;
        upstream = choice.get();
        sentNanos = nowNanos;
        evidence().ifPresent(UpstreamEvidence::started);
        actions.add(new OnceOnlyAction.Dispatch(currentCallId(), choice.get(), dispatchDeadlineNanos));
    }

    private void recordNotRun(RefusalKind kind, String reason, List<OnceOnlyAction> actions) {
        record(
                new OnceOnlyAction.RecordNotRun(reason),
                new OnceOnlyAction.Refuse(Refusal.of(kind, reason + "; it did not run, send the request again")),
                actions);
    }

    private void recordUnknown(String reason, List<OnceOnlyAction> actions) {
        record(
                new OnceOnlyAction.RecordUnknown(reason),
                new OnceOnlyAction.Refuse(refusalFor(new ClaimResult.OutcomeUnknown(reason))),
                actions);
    }

    private void record(OnceOnlyAction outcome, OnceOnlyAction answer, List<OnceOnlyAction> actions) {
        stage = Stage.RECORDING;
        afterRecording = answer;
        actions.add(outcome);
    }

    private void finish(OnceOnlyAction answer, List<OnceOnlyAction> actions) {
        stage = Stage.OVER;
        answered = true;
        actions.add(answer);
    }

    private Optional<UpstreamEvidence> evidence() {
        return Optional.ofNullable(upstream).flatMap(tables.upstreams()::find);
    }

    private String currentCallId() {
        return callPrefix + "-" + dispatches;
    }

    private static Refusal refusalFor(ClaimResult verdict) {
        if (verdict instanceof ClaimResult.HeldByAnother) {
            return Refusal.of(RefusalKind.IN_PROGRESS, "another attempt is running the request; look up its outcome");
        }
        if (verdict instanceof ClaimResult.OutcomeUnknown unknown) {
            return Refusal.of(
                    RefusalKind.OUTCOME_UNKNOWN,
                    "it is not known whether the request ran (" + unknown.reason()
                            + "); it will not be run again, check with the service before using a new identifier");
        }
        if (verdict instanceof ClaimResult.Mismatch) {
            return Refusal.of(
                    RefusalKind.REQUEST_MISMATCH,
                    "the request identifier was used for another request; use a new identifier");
        }
        if (verdict instanceof ClaimResult.Expired) {
            return Refusal.of(
                    RefusalKind.EXPIRED,
                    "the request is older than outcomes are kept and is not run; check with the service");
        }
        String reason = verdict instanceof ClaimResult.NoQuorum noQuorum ? noQuorum.reason() : "not granted";
        return Refusal.of(
                RefusalKind.NO_QUORUM,
                "the control hosts did not confirm the claim (" + reason + "); it did not run, send it again");
    }
}
