package org.bramblerack.request.routed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;

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
    /** Delay before a retry after all leaves of a service refused as busy. */
    private static final long RETRY_BACKOFF_NANOS = Duration.ofMillis(20).toNanos();

    private final PermittedLeaves pool;
    private final RequestBounds bounds;
    private final boolean repeatable;
    private final boolean hedged;
    private final RandomGenerator random;
    private final ShardListener listener;
    private final ShardAttempts attempts = new ShardAttempts();
    private final HedgeSchedule hedgeSchedule;
    private final HedgeChoice hedgeChoice;
    private final AttemptAllowance allowance;
    private boolean delegated;
    /** True if the delegate's request for an attempt waits for one that this host has requested in turn. */
    private boolean delegateAwaitsAttempt;

    private boolean retryAwaitsAttempt;
    private boolean finished;
    private boolean closed;
    private long retryAtNanos;
    private boolean retryDue;
    private boolean deferred;

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
            ShardListener listener) {
        this.pool = pool;
        this.bounds = bounds;
        this.repeatable = repeatable;
        this.hedged = repeatable && hedged;
        this.random = random;
        this.listener = listener;
        this.allowance = new AttemptAllowance(
                attempts, bounds.maxAttempts(), bounds.obtainableAttempts(), listener::onAttemptRequested);
        this.hedgeChoice = new HedgeChoice(pool, bounds, random);
        this.hedgeSchedule = new HedgeSchedule(bounds.hedgeDelayNanos());
    }

    /** Delegates the request to another host, and hands over one attempt. */
    void delegate() {
        delegated = true;
        allowance.handOver();
    }

    /** Returns the permitted attempts that belong to this host. */
    AttemptAllowance allowance() {
        return allowance;
    }

    /** Replies to the other host, which requests one more attempt. */
    AttemptReply onAttemptRequested() {
        if (!delegated || finished || closed) {
            return AttemptReply.DENIED;
        }
        if (allowance.isAvailable()) {
            allowance.handOver();
            return AttemptReply.GRANTED;
        }
        if (!allowance.isObtainable()) {
            return AttemptReply.DENIED;
        }
        delegateAwaitsAttempt = true;
        allowance.request();
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
        if (delegated) {
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
        if (retryAwaitsAttempt && !finished) {
            retryAwaitsAttempt = false;
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        }
        Optional<AttemptReply> reply = delegateAwaitsAttempt ? Optional.of(AttemptReply.DENIED) : Optional.empty();
        delegateAwaitsAttempt = false;
        return reply;
    }

    /**
     * Makes an attempt from here because the other host is silent, if attempts and budget remain; otherwise continues
     * to wait for the other host.
     */
    void startBackupAttempt(long nowNanos, List<RoutedAction> actions) {
        if (!delegated || finished || closed) {
            return;
        }
        if (!allowance.isAvailable()) {
            if (allowance.isObtainable()) {
                allowance.request();
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
            allowance.takeBackAll();
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
        boolean allowed = notRun || !allowance.isAvailableOrObtainable() || mayRetry.test(this);
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
        if (!allowance.isAvailable()) {
            awaitAttemptForRetry(actions);
            return;
        }
        Optional<Leaf> leaf = pool.choose(candidate -> true, bounds.expectedNanos(), random, nowNanos);
        if (leaf.isEmpty()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
            return;
        }
        if (!wasSent()) {
            pool.budget().recordFirstAttempt(nowNanos);
        } else if (!pool.budget().tryWithdraw(nowNanos)) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_BUDGET, actions);
            return;
        }
        actions.add(new RoutedAction.Count(AttemptCounter.FIRST));
        sendAttempt(leaf.get(), Attempt.Purpose.FIRST, nowNanos, actions);
    }

    /** Requests an attempt for the retry, or ends the request if none is obtainable. */
    private void awaitAttemptForRetry(List<RoutedAction> actions) {
        if (allowance.isObtainable()) {
            retryAwaitsAttempt = true;
            allowance.request();
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
        attempts.abandonInFlight(actions);
    }

    /** Ends the request without abandoning the attempts in flight, which the sender does. */
    void abandon() {
        end();
    }

    /** Stops new attempts; those in flight may still answer. */
    void close(List<RoutedAction> actions) {
        closed = true;
        if (!finished && !delegated && !attempts.isAnyInFlight()) {
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
        if (finished || attempts.isAnyInFlight()) {
            return;
        }
        if (outcome != LeafOutcome.BROKEN || mayRetry.test(this)) {
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
        boolean mayHedge = hedged && hedgeSchedule.isOpen() && attempts.count() == 1;
        return mayHedge ? hedgeSchedule.dueNanos(attempts.first()) : defaultNanos;
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns true if no attempt can have run the request. */
    boolean isNotRun() {
        return !allowance.isAnyHandedOver() && attempts.isNoneRun();
    }

    /** Returns true if any attempt was made, here or by another host. */
    boolean wasAttempted() {
        return allowance.mayBeSentByDelegate() || !attempts.isEmpty();
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
        return attempts.isAnyQuarantined();
    }

    /** Returns true if the request may have reached a leaf. */
    boolean wasSent() {
        return allowance.mayBeSentByDelegate() || !attempts.isNoneSent();
    }

    /** Returns true if more than one attempt may have run, here or by another host. */
    boolean wasHedged() {
        return allowance.handedOver() + attempts.possiblyRunCount() > 1;
    }

    /** Describes the attempts and their state for a log line. */
    String describe(long nowNanos) {
        return pool.service() + allowance.describe() + attempts.describe(nowNanos);
    }

    /** Returns true if the first attempt is late and no other was made. */
    boolean isHedgeDue(long nowNanos) {
        return !finished
                && !closed
                && hedged
                && hedgeSchedule.isOpen()
                && attempts.count() == 1
                && !attempts.first().isFinished()
                && nowNanos - hedgeSchedule.dueNanos(attempts.first()) >= 0;
    }

    /** Counts a hedge that is not made, and schedules the next check. */
    private void denyHedge(AttemptCounter reason, long nowNanos, List<RoutedAction> actions) {
        hedgeSchedule.recordDenial(attempts.first(), nowNanos);
        actions.add(new RoutedAction.Count(reason));
    }

    private void hedge(long nowNanos, List<RoutedAction> actions) {
        Optional<Leaf> candidate =
                allowance.isAvailableOrObtainable() ? hedgeChoice.candidate(attempts, nowNanos) : Optional.empty();
        if (candidate.isEmpty()) {
            denyHedge(AttemptCounter.HEDGE_DENIED_NO_LEAF, nowNanos, actions);
        } else if (hedgeSchedule.isEarly(attempts.first(), nowNanos)
                && !hedgeChoice.savesTime(candidate.get(), nowNanos)) {
            denyHedge(AttemptCounter.HEDGE_DENIED_NO_GAIN, nowNanos, actions);
        } else if (!hedgeChoice.isWithinBudget(nowNanos)) {
            denyHedge(AttemptCounter.HEDGE_DENIED_BUDGET, nowNanos, actions);
        } else if (!allowance.isAvailable()) {
            allowance.request();
        } else if (hedgeChoice.tryWithdraw(nowNanos)) {
            actions.add(new RoutedAction.Count(AttemptCounter.HEDGE));
            sendAttempt(candidate.get(), Attempt.Purpose.HEDGE, nowNanos, actions);
        }
    }

    private void retry(long nowNanos, List<RoutedAction> actions) {
        if (!isRetryPermitted()) {
            endWithoutAnswer(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        if (!allowance.isAvailable()) {
            awaitAttemptForRetry(actions);
            return;
        }
        Optional<Leaf> untried = pool.choose(leaf -> !attempts.include(leaf), bounds.expectedNanos(), random, nowNanos);
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
        retryAtNanos = nowNanos + RETRY_BACKOFF_NANOS * attempts.count() + random.nextLong(RETRY_BACKOFF_NANOS);
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
        Attempt attempt = new Attempt(this, leaf, purpose, nowNanos, hedgeChoice.overdueNanos(leaf, nowNanos));
        attempts.add(attempt);
        actions.add(new RoutedAction.CallLeaf(attempt));
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
        return attempts.count() < bounds.maxAttempts() + bounds.obtainableAttempts() + MAX_REFUSED_ATTEMPTS;
    }
}
