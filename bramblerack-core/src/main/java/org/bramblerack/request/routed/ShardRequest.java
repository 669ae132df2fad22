package org.bramblerack.request.routed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingFeature;

/**
 * The attempts of one request at one service: which leaf is called, when it is hedged or retried, and when it fails.
 *
 * <p>Invariants: an attempt is made only if it belongs to this host, see {@link AttemptAllowance}; attempts that
 * certainly did not run are not counted, but every attempt after the first that was sent to a leaf is charged to the
 * pool's budget. A request that must not run twice is retried only if no earlier attempt can have run. Not safe for use
 * by several threads.
 */
final class ShardRequest {
    /** Attempts that may be refused without running, in addition to those that the route permits. */
    private static final int MAX_REFUSED_ATTEMPTS = 3;
    /** Percentage of the budget that hedges leave for retries. */
    private static final int RESERVED_FOR_RETRIES_PERCENT = 35;
    /** A leaf that refuses more of its calls than this is not used for hedges, which it would probably refuse. */
    private static final double MAX_REFUSAL_RATE_FOR_HEDGE = 0.3;
    /** Delay before a retry after all leaves of a service refused as busy. */
    private static final long RETRY_BACKOFF_NANOS = Duration.ofMillis(20).toNanos();

    private final PermittedLeaves pool;
    private final RequestBounds bounds;
    private final boolean repeatable;
    private final boolean hedged;
    private final RandomGenerator random;
    private final Listener listener;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final HedgeSchedule hedgeSchedule;
    private final AttemptAllowance allowance;
    private boolean delegated;
    /** True if the delegate's request for an attempt waits for one that this host has requested in turn. */
    private boolean delegateAwaitsAttempt;
    /** True if the backup attempt, or the retry, waits for an attempt that was requested. */
    private boolean backupAwaitsAttempt;

    private boolean retryAwaitsAttempt;
    private boolean finished;
    private boolean closed;
    private long retryAtNanos;
    private boolean retryDue;
    private boolean deferred;

    /** Receives the events of a request that concern the query that it belongs to. */
    interface Listener {
        /** Handles the end of the request, once: it has an answer or can no longer get one. */
        void onFinished();

        /** Handles the need for an attempt that belongs to the host that delegated the query. */
        void onAttemptRequested();
    }

    /** What the delegating host replies to a request for an attempt. */
    enum AttemptReply {
        /** The attempt belongs to the delegate from now on. */
        GRANTED,
        /** No attempt is available. */
        DENIED,
        /** This host has requested the attempt in turn. */
        LATER
    }

    /**
     * Creates a request that is not yet sent.
     *
     * @param repeatable whether the request may run more than once
     * @param hedged whether late attempts are hedged; ignored if the request is not repeatable
     */
    ShardRequest(
            PermittedLeaves pool,
            RequestBounds bounds,
            boolean repeatable,
            boolean hedged,
            RandomGenerator random,
            Listener listener) {
        this.pool = pool;
        this.bounds = bounds;
        this.repeatable = repeatable;
        this.hedged = repeatable && hedged;
        this.random = random;
        this.listener = listener;
        this.allowance = new AttemptAllowance(bounds.maxAttempts(), bounds.obtainableAttempts());
        this.hedgeSchedule = new HedgeSchedule(bounds.hedgeDelayNanos());
    }

    /** Delegates the request to another host, and hands over one attempt. */
    void delegate() {
        delegated = true;
        allowance.handOver();
    }

    /** Records that the other host has certainly not sent the request to any leaf and will not. */
    void takeBackAllAttempts() {
        allowance.takeBack(allowance.handedOver());
    }

    /** Records that the other host gave back one of its attempts. */
    void takeBackAttempt() {
        allowance.takeBack(1);
    }

    /** Replies to the other host, which requests one more attempt. */
    AttemptReply onAttemptRequested() {
        if (!delegated || finished || closed) {
            return AttemptReply.DENIED;
        }
        if (availableAttempts() > 0) {
            allowance.handOver();
            return AttemptReply.GRANTED;
        }
        if (!allowance.isObtainable()) {
            return AttemptReply.DENIED;
        }
        delegateAwaitsAttempt = true;
        requestAttempt();
        return AttemptReply.LATER;
    }

    /**
     * Records that the delegating host handed over the requested attempt, and uses it for what waits for it. A hedge
     * that waits is made by {@link #wake}.
     *
     * @return the reply to this host's own delegate; empty if it has not requested an attempt
     */
    Optional<AttemptReply> onAttemptGranted(long nowNanos, List<RoutedAction> actions) {
        allowance.grant();
        if (delegateAwaitsAttempt) {
            delegateAwaitsAttempt = false;
            return Optional.of(onAttemptRequested());
        }
        if (backupAwaitsAttempt) {
            backupAwaitsAttempt = false;
            startBackupAttempt(nowNanos, actions);
        } else if (retryAwaitsAttempt) {
            retryAwaitsAttempt = false;
            resume(nowNanos, actions);
        }
        return Optional.empty();
    }

    /**
     * Records that the delegating host has no attempt left.
     *
     * @return the reply to this host's own delegate; empty if it has not requested an attempt
     */
    Optional<AttemptReply> onAttemptDenied(List<RoutedAction> actions) {
        allowance.deny();
        backupAwaitsAttempt = false;
        if (retryAwaitsAttempt && !finished) {
            retryAwaitsAttempt = false;
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        }
        boolean replies = delegateAwaitsAttempt;
        delegateAwaitsAttempt = false;
        return replies ? Optional.of(AttemptReply.DENIED) : Optional.empty();
    }

    /** Requests an attempt from the delegating host unless one was requested before. */
    private void requestAttempt() {
        if (!allowance.isRequested()) {
            allowance.recordRequest();
            listener.onAttemptRequested();
        }
    }

    /** Returns the number of attempts that this host may still make or hand over. */
    int availableAttempts() {
        return allowance.available(attemptsPossiblyRun());
    }

    /** Records that the other host has hedged the request. Returns true if that exceeds the permitted attempts. */
    boolean recordDelegateHedged() {
        allowance.recordUsedByDelegate(2);
        return availableAttempts() < 0;
    }

    /**
     * Makes an attempt from here because the other host is silent, if attempts and budget remain; otherwise continues
     * to wait for the other host.
     */
    void startBackupAttempt(long nowNanos, List<RoutedAction> actions) {
        if (!delegated || finished || closed) {
            return;
        }
        if (availableAttempts() <= 0) {
            if (allowance.isObtainable()) {
                backupAwaitsAttempt = true;
                requestAttempt();
            }
            return;
        }
        if (!pool.budget().tryWithdraw(nowNanos)) {
            return;
        }
        Optional<Leaf> leaf = pool.choose(candidate -> true, bounds.expectedNanos(), random, nowNanos);
        if (leaf.isPresent()) {
            delegated = false;
            sendAttempt(leaf.get(), Attempt.Purpose.RETRY, nowNanos, actions);
        }
    }

    /**
     * Ends the delegation to the other host, which has finished, and makes an attempt from here.
     *
     * @param notRun true if the other host has certainly not sent the request to any leaf
     * @param mayRetry evaluated before the attempt if the other host has sent the request; if false, the attempt is
     *     deferred
     */
    void reclaim(boolean notRun, Predicate<ShardRequest> mayRetry, long nowNanos, List<RoutedAction> actions) {
        if (notRun) {
            takeBackAllAttempts();
        }
        if (!delegated || finished) {
            return;
        }
        delegated = false;
        delegateAwaitsAttempt = false;
        if (closed) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        boolean hasAttempt = availableAttempts() > 0 || allowance.isObtainable();
        boolean allowed = notRun || !hasAttempt || mayRetry.test(this);
        if (allowed) {
            start(nowNanos, actions);
        } else {
            defer(AttemptCounter.RETRY_HELD_BREAKS, actions);
        }
    }

    /** Defers the next attempt until {@link #resume}. */
    void defer(AttemptCounter reason, List<RoutedAction> actions) {
        deferred = true;
        delegated = false;
        actions.add(new RoutedAction.Count(reason));
    }

    /** Makes the deferred attempt. */
    void resume(long nowNanos, List<RoutedAction> actions) {
        deferred = false;
        if (finished) {
            return;
        }
        if (closed) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        } else if (attempts.isEmpty()) {
            start(nowNanos, actions);
        } else {
            retry(nowNanos, actions);
        }
    }

    /** Ends the request without making the deferred attempt. */
    void failDeferred(List<RoutedAction> actions) {
        if (!finished) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_BREAKS, actions);
        }
    }

    boolean isDelegated() {
        return delegated;
    }

    /** Returns true while the request waits for another host. */
    boolean isAwaitedElsewhere() {
        return delegated && !finished;
    }

    /** Makes the first attempt, or ends the request if no leaf, attempt or budget is available. */
    void start(long nowNanos, List<RoutedAction> actions) {
        if (availableAttempts() <= 0) {
            awaitAttemptForRetry(actions);
            return;
        }
        Optional<Leaf> leaf = pool.choose(candidate -> true, bounds.expectedNanos(), random, nowNanos);
        if (leaf.isEmpty()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
            return;
        }
        if (allowance.handedOver() > 0 && !pool.budget().tryWithdraw(nowNanos)) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_BUDGET, actions);
            return;
        }
        pool.budget().recordFirstAttempt(nowNanos);
        actions.add(new RoutedAction.Count(AttemptCounter.FIRST));
        sendAttempt(leaf.get(), Attempt.Purpose.FIRST, nowNanos, actions);
    }

    /** Requests an attempt for the retry, or ends the request if none is obtainable. */
    private void awaitAttemptForRetry(List<RoutedAction> actions) {
        if (allowance.isObtainable()) {
            retryAwaitsAttempt = true;
            requestAttempt();
        } else {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        }
    }

    /** Records that another host returned the answer. */
    void onAnswerElsewhere() {
        end();
    }

    /** Records the answer of an attempt and abandons the others. */
    void onAnswer(Attempt attempt, List<RoutedAction> actions) {
        attempt.finish(Attempt.State.ANSWERED);
        finish(actions);
    }

    /** Ends the request and abandons the attempts in flight. */
    void finish(List<RoutedAction> actions) {
        end();
        for (Attempt attempt : attempts) {
            if (!attempt.isFinished()) {
                attempt.finish(Attempt.State.GIVEN_UP);
                actions.add(new RoutedAction.AbandonAttempt(attempt));
            }
        }
    }

    /** Ends the request without abandoning the attempts in flight, which the sender does. */
    void abandon() {
        end();
    }

    /** Stops new attempts; those in flight may still answer. */
    void close(List<RoutedAction> actions) {
        closed = true;
        if (!finished && !delegated && !hasAttemptInFlight()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        }
    }

    /** Records the failure of an attempt, and retries if that is permitted. */
    void onFailure(Attempt attempt, LeafOutcome outcome, long nowNanos, List<RoutedAction> actions) {
        onFailure(attempt, outcome, shard -> true, nowNanos, actions);
    }

    /**
     * Records the failure of an attempt, and retries if that is permitted.
     *
     * @param mayRetry evaluated before the retry that follows a disconnect; if false, the retry is deferred
     */
    void onFailure(
            Attempt attempt,
            LeafOutcome outcome,
            Predicate<ShardRequest> mayRetry,
            long nowNanos,
            List<RoutedAction> actions) {
        if (attempt.isFinished()) {
            return;
        }
        attempt.fail(outcome);
        if (!finished && outcome == LeafOutcome.BARRED) {
            // A quarantined request must not be sent to any other leaf.
            endWithoutAnswer(AttemptCounter.DENIED_HARMFUL, actions);
            return;
        }
        if (finished || hasAttemptInFlight()) {
            return;
        }
        boolean allowed = outcome != LeafOutcome.BROKEN || mayRetry.test(this);
        if (allowed) {
            retry(nowNanos, actions);
        } else {
            defer(AttemptCounter.RETRY_HELD_BREAKS, actions);
        }
    }

    /**
     * Makes the hedge or retry that is due.
     *
     * @param denial the reason, if any, for which no shard of the query may be hedged
     */
    void wake(Optional<AttemptCounter> denial, long nowNanos, List<RoutedAction> actions) {
        if (finished || deferred || allowance.isRequested()) {
            return;
        }
        if (retryDue && nowNanos - retryAtNanos >= 0) {
            retryDue = false;
            retryAtAnyLeaf(nowNanos, actions);
        } else if (isHedgeDue(nowNanos) && denial.isEmpty()) {
            hedge(nowNanos, actions);
        } else if (isHedgeDue(nowNanos)) {
            denyHedge(denial.get(), nowNanos, actions);
        }
    }

    /** Returns when the request needs to be woken next, or the given time if it does not. */
    long nextWakeNanos(long defaultNanos) {
        if (finished || delegated || closed || deferred || allowance.isRequested()) {
            return defaultNanos;
        }
        if (retryDue) {
            return retryAtNanos;
        }
        boolean mayHedge = hedged && hedgeSchedule.isOpen() && attempts.size() == 1;
        return mayHedge ? hedgeSchedule.dueNanos(attempts.get(0)) : defaultNanos;
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns true if no attempt can have run the request. */
    boolean isNotRun() {
        return allowance.handedOver() == 0 && attempts.stream().allMatch(Attempt::isNotRun);
    }

    /** Returns true if any attempt was made, here or by another host. */
    boolean wasAttempted() {
        return allowance.handedOver() > 0 || !attempts.isEmpty();
    }

    /** Returns the refusal reason of a request that has not run. */
    RefusalReason notRunReason() {
        if (isQuarantined()) {
            return RefusalReason.HARMFUL;
        }
        if (wasAttempted()) {
            return RefusalReason.ALL_BUSY;
        }
        return pool.areAllOutsideHomeRegions() ? RefusalReason.NO_LEAF_AT_HOME : RefusalReason.NO_LEAF;
    }

    /** Returns true if an attempt was not sent because the request is quarantined. */
    boolean isQuarantined() {
        return attempts.stream().anyMatch(Attempt::isQuarantined);
    }

    /** Returns true if the request may have reached a leaf. */
    boolean wasSent() {
        return allowance.handedOver() > 0 || !attempts.stream().allMatch(Attempt::isNotSent);
    }

    /** Returns true if more than one attempt may have run, here or by another host. */
    boolean wasHedged() {
        return allowance.handedOver() + attemptsPossiblyRun() > 1;
    }

    /** Describes the attempts and their state for a log line. */
    String describe(long nowNanos) {
        StringBuilder text = new StringBuilder(pool.service());
        if (allowance.handedOver() > 0) {
            text.append(" elsewhere=").append(allowance.handedOver());
        }
        for (Attempt attempt : attempts) {
            text.append(' ')
                    .append(attempt.purpose())
                    .append('@')
                    .append(attempt.leaf().id());
            text.append('-')
                    .append(TimeUnit.NANOSECONDS.toMillis(nowNanos - attempt.sentNanos()))
                    .append("ms-")
                    .append(attempt.state());
        }
        return text.toString();
    }

    /** Returns true if the first attempt is late and no other was made. */
    boolean isHedgeDue(long nowNanos) {
        return !finished
                && !closed
                && hedged
                && hedgeSchedule.isOpen()
                && attempts.size() == 1
                && !attempts.get(0).isFinished()
                && nowNanos - hedgeSchedule.dueNanos(attempts.get(0)) >= 0;
    }

    /** Counts a hedge that is not made, and schedules the next check. */
    private void denyHedge(AttemptCounter reason, long nowNanos, List<RoutedAction> actions) {
        hedgeSchedule.recordDenial(attempts.get(0), nowNanos);
        actions.add(new RoutedAction.Count(reason));
    }

    private void hedge(long nowNanos, List<RoutedAction> actions) {
        boolean hasAttempt = availableAttempts() > 0;
        Optional<Leaf> candidate = hasAttempt || allowance.isObtainable()
                ? pool.choose(leaf -> isHedgeCandidate(leaf, nowNanos), bounds.expectedNanos(), random, nowNanos)
                : Optional.empty();
        if (candidate.isEmpty()) {
            denyHedge(AttemptCounter.HEDGE_DENIED_NO_LEAF, nowNanos, actions);
        } else if (hedgeSchedule.isEarly(attempts.get(0), nowNanos) && !savesTime(candidate.get(), nowNanos)) {
            denyHedge(AttemptCounter.HEDGE_DENIED_NO_GAIN, nowNanos, actions);
        } else if (!pool.budget().mayWithdrawAbove(RESERVED_FOR_RETRIES_PERCENT, nowNanos)) {
            denyHedge(AttemptCounter.HEDGE_DENIED_BUDGET, nowNanos, actions);
        } else if (!hasAttempt) {
            requestAttempt();
        } else {
            pool.budget().tryWithdrawAbove(RESERVED_FOR_RETRIES_PERCENT, nowNanos);
            actions.add(new RoutedAction.Count(AttemptCounter.HEDGE));
            sendAttempt(candidate.get(), Attempt.Purpose.HEDGE, nowNanos, actions);
        }
    }

    /** Returns true if a hedge is expected to answer before the overdue attempt. */
    private boolean savesTime(Leaf candidate, long nowNanos) {
        return candidate.costNanos(bounds.expectedNanos(), nowNanos) < Leaf.STALL_HANDICAP_NANOS;
    }

    /** Returns false for leaves that are full or stalled, where a hedge would only add load. */
    private boolean isHedgeCandidate(Leaf leaf, long nowNanos) {
        return !wasAttempted(leaf)
                && !leaf.isEjected(nowNanos)
                && !leaf.isOverloaded(nowNanos)
                && !leaf.isStalled(nowNanos)
                && leaf.refusalRate(nowNanos) < MAX_REFUSAL_RATE_FOR_HEDGE;
    }

    private void retry(long nowNanos, List<RoutedAction> actions) {
        if (!isRetryPermitted()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        if (availableAttempts() <= 0) {
            awaitAttemptForRetry(actions);
            return;
        }
        Optional<Leaf> untried = pool.choose(leaf -> !wasAttempted(leaf), bounds.expectedNanos(), random, nowNanos);
        if (untried.isPresent()) {
            retryWithinBudget(untried.get(), nowNanos, actions);
            return;
        }
        boolean fitsDeadline = nowNanos + RETRY_BACKOFF_NANOS + bounds.expectedNanos() - bounds.deadlineNanos() < 0;
        if (!fitsDeadline || attempts.isEmpty()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
            return;
        }
        retryDue = true;
        retryAtNanos = nowNanos + RETRY_BACKOFF_NANOS * attempts.size() + random.nextLong(RETRY_BACKOFF_NANOS);
    }

    private void retryAtAnyLeaf(long nowNanos, List<RoutedAction> actions) {
        Optional<Leaf> any = pool.choose(leaf -> true, bounds.expectedNanos(), random, nowNanos);
        if (any.isPresent()) {
            retryWithinBudget(any.get(), nowNanos, actions);
        } else {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
        }
    }

    /** Makes a retry, charged to the budget unless no earlier attempt reached a leaf. */
    private void retryWithinBudget(Leaf leaf, long nowNanos, List<RoutedAction> actions) {
        if (wasSent() && !pool.budget().tryWithdraw(nowNanos)) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_BUDGET, actions);
            return;
        }
        actions.add(new RoutedAction.Count(AttemptCounter.RETRY));
        sendAttempt(leaf, Attempt.Purpose.RETRY, nowNanos, actions);
    }

    private void sendAttempt(Leaf leaf, Attempt.Purpose purpose, long nowNanos, List<RoutedAction> actions) {
        Attempt attempt = new Attempt(this, leaf, purpose, nowNanos, overdueNanos(leaf, nowNanos));
        attempts.add(attempt);
        actions.add(new RoutedAction.CallLeaf(attempt));
    }

    /** Returns when an attempt that is made now becomes overdue at its leaf. */
    private long overdueNanos(Leaf leaf, long nowNanos) {
        if (!pool.uses(RoutingFeature.LEAF_HEDGES)) {
            return Long.MAX_VALUE / 2;
        }
        long callNanos = Math.max(bounds.expectedNanos(), leaf.workNanos(bounds.expectedNanos(), nowNanos));
        return nowNanos + HedgeTiming.overdueAfterNanos(callNanos, bounds.goalNanos() - nowNanos);
    }

    private void end() {
        if (!finished) {
            finished = true;
            listener.onFinished();
        }
    }

    private void endWithoutAnswer(AttemptCounter reason, List<RoutedAction> actions) {
        end();
        actions.add(new RoutedAction.Count(reason));
    }

    private boolean isRetryPermitted() {
        if (closed || (!repeatable && !isNotRun())) {
            return false;
        }
        return attempts.size() < bounds.maxAttempts() + bounds.obtainableAttempts() + MAX_REFUSED_ATTEMPTS;
    }

    /** Returns the number of attempts from this host that may have run. */
    private int attemptsPossiblyRun() {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.isNotRun() ? 0 : 1;
        }
        return count;
    }

    private boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(attempt -> !attempt.isFinished());
    }

    private boolean wasAttempted(Leaf leaf) {
        return attempts.stream().anyMatch(attempt -> attempt.leaf() == leaf);
    }
}
