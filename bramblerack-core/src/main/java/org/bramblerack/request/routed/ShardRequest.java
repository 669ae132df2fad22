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
 * The attempts of one request at one service: which leaf is asked, when another is, and when there is no hope left.
 *
 * <p>Invariants: at most {@code maxAttempts} leafs may have the request at work; attempts that certainly did not run do
 * not count toward that, but every one after the first that a leaf can have seen is paid for from the pool's budget. A
 * request that must not run twice is sent again only if no earlier attempt can have run. Not safe for use by several
 * threads.
 */
final class ShardRequest {
    /** Attempts that leafs refused without running them, beyond those that the route allows. */
    private static final int MAX_REFUSED = 3;
    /** Hedges leave this part of the budget to retries, which are certain to be needed. */
    private static final int RESERVED_FOR_RETRIES_PERCENT = 35;
    /** A hedge at a leaf that refuses more of its calls than this would mostly cost the budget and bring nothing. */
    private static final double MOST_REFUSALS_FOR_HEDGE = 0.3;
    /** How long to leave a service alone all of whose leafs said that they are full. */
    private static final long BACKOFF_NANOS = Duration.ofMillis(20).toNanos();

    private final PermittedLeaves pool;
    private final RequestBounds bounds;
    private final boolean repeatable;
    private final boolean hedged;
    private final RandomGenerator random;
    private final Runnable onFinished;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final HedgeSchedule hedgeSchedule;
    private int spentElsewhere;
    private boolean delegated;
    private boolean finished;
    private boolean closed;
    private long retryAtNanos;
    private boolean retryDue;
    private boolean held;

    /**
     * Creates a request that is not yet sent.
     *
     * @param repeatable whether it may run more than once
     * @param hedged whether a second leaf is asked if the first is late; only if it is repeatable
     * @param onFinished is run once, when there is nothing to wait for any more
     */
    ShardRequest(
            PermittedLeaves pool,
            RequestBounds bounds,
            boolean repeatable,
            boolean hedged,
            RandomGenerator random,
            Runnable onFinished) {
        this.pool = pool;
        this.bounds = bounds;
        this.repeatable = repeatable;
        this.hedged = repeatable && hedged;
        this.random = random;
        this.onFinished = onFinished;
        this.hedgeSchedule = new HedgeSchedule(bounds.hedgeDelayNanos());
    }

    /** Leaves the request to another host. */
    void delegate() {
        delegated = true;
        spentElsewhere = 1;
    }

    /** Notes that the other host never got the request. */
    void neverSentElsewhere() {
        spentElsewhere = 0;
    }

    /** Notes that the other host asked a second leaf. */
    void delegateAskedTwice() {
        spentElsewhere = 2;
    }

    /**
     * Makes an attempt here because the other host is silent, if attempts and budget allow one; otherwise goes on
     * waiting for the other host.
     */
    void backUp(long nowNanos, List<RoutedAction> actions) {
        boolean allowed = !closed && spentElsewhere < bounds.maxAttempts();
        if (!delegated || finished || !allowed || !pool.budget().tryWithdraw(nowNanos)) {
            return;
        }
        Optional<Leaf> leaf = pool.choose(candidate -> true, bounds.expectedNanos(), random, nowNanos);
        if (leaf.isPresent()) {
            delegated = false;
            ask(leaf.get(), Attempt.Purpose.RETRY, nowNanos, actions);
        }
    }

    /**
     * Takes the request back from the other host, which is done with it, and makes an attempt here.
     *
     * @param notRun true if the other host has certainly not sent it to any leaf
     * @param mayAskAgain is asked before an attempt if the other host has sent it; if it says no, the request is held
     */
    void takeBack(boolean notRun, Predicate<ShardRequest> mayAskAgain, long nowNanos, List<RoutedAction> actions) {
        if (!delegated || finished) {
            return;
        }
        delegated = false;
        spentElsewhere = notRun ? 0 : spentElsewhere;
        if (closed) {
            giveUp(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        boolean allowed = notRun || spentElsewhere >= bounds.maxAttempts() || mayAskAgain.test(this);
        if (allowed) {
            start(nowNanos, actions);
        } else {
            hold(AttemptCounter.RETRY_HELD_BREAKS, actions);
        }
    }

    /** Makes no further attempt until it is resumed. */
    void hold(AttemptCounter reason, List<RoutedAction> actions) {
        held = true;
        delegated = false;
        actions.add(new RoutedAction.Count(reason));
    }

    /** Makes the attempt that was held back. */
    void resume(long nowNanos, List<RoutedAction> actions) {
        held = false;
        if (finished) {
            return;
        }
        if (closed) {
            giveUp(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        } else if (attempts.isEmpty()) {
            start(nowNanos, actions);
        } else {
            retry(nowNanos, actions);
        }
    }

    /** Gives up instead of making the attempt that was held back. */
    void giveUpHeld(List<RoutedAction> actions) {
        if (!finished) {
            giveUp(AttemptCounter.RETRY_DENIED_BREAKS, actions);
        }
    }

    /** Returns true while another host has the request. */
    boolean isDelegated() {
        return delegated;
    }

    /** Returns true while the answer is to come from another host. */
    boolean isAwaitedElsewhere() {
        return delegated && !finished;
    }

    /** Makes the first attempt; ends without hope if there is no leaf to make it at. */
    void start(long nowNanos, List<RoutedAction> actions) {
        if (spentElsewhere >= bounds.maxAttempts()) {
            giveUp(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        Optional<Leaf> leaf = pool.choose(candidate -> true, bounds.expectedNanos(), random, nowNanos);
        if (leaf.isEmpty()) {
            giveUp(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
            return;
        }
        if (spentElsewhere > 0 && !pool.budget().tryWithdraw(nowNanos)) {
            giveUp(AttemptCounter.RETRY_DENIED_BUDGET, actions);
            return;
        }
        pool.budget().recordFirstAttempt(nowNanos);
        actions.add(new RoutedAction.Count(AttemptCounter.FIRST));
        ask(leaf.get(), Attempt.Purpose.FIRST, nowNanos, actions);
    }

    /** Notes that the other host brought the answer. */
    void answeredElsewhere() {
        end();
    }

    /** Notes that an attempt brought the answer; the others are of no use any more. */
    void answered(Attempt attempt, List<RoutedAction> actions) {
        attempt.finish(Attempt.State.ANSWERED);
        finish(actions);
    }

    /** Ends the request and gives up the attempts under way. */
    void finish(List<RoutedAction> actions) {
        end();
        for (Attempt attempt : attempts) {
            if (!attempt.isFinished()) {
                attempt.finish(Attempt.State.GIVEN_UP);
                actions.add(new RoutedAction.AbandonAttempt(attempt));
            }
        }
    }

    /** Ends the request; attempts under way are left to the sender. */
    void abandon() {
        end();
    }

    /** Makes no attempt from now on; those under way are waited for. */
    void close(List<RoutedAction> actions) {
        closed = true;
        if (!finished && !delegated && !hasAttemptInFlight()) {
            giveUp(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
        }
    }

    /** Notes that an attempt failed, and makes another if that is allowed. */
    void failed(Attempt attempt, LeafOutcome outcome, long nowNanos, List<RoutedAction> actions) {
        failed(attempt, outcome, shard -> true, nowNanos, actions);
    }

    /**
     * Notes that an attempt failed, and makes another if that is allowed.
     *
     * @param mayAskAgain is asked before the attempt that follows a break; if it says no, the request is held
     */
    void failed(
            Attempt attempt,
            LeafOutcome outcome,
            Predicate<ShardRequest> mayAskAgain,
            long nowNanos,
            List<RoutedAction> actions) {
        if (attempt.isFinished()) {
            return;
        }
        attempt.fail(outcome);
        if (!finished && outcome == LeafOutcome.BARRED) {
            // No other leaf may have it either.
            giveUp(AttemptCounter.DENIED_HARMFUL, actions);
            return;
        }
        if (finished || hasAttemptInFlight()) {
            return;
        }
        boolean allowed = outcome != LeafOutcome.BROKEN || mayAskAgain.test(this);
        if (allowed) {
            retry(nowNanos, actions);
        } else {
            hold(AttemptCounter.RETRY_HELD_BREAKS, actions);
        }
    }

    /**
     * Makes a hedge or a retry that is due.
     *
     * @param denial why no hedge should be made, if there is a reason that holds for the whole query
     */
    void wake(Optional<AttemptCounter> denial, long nowNanos, List<RoutedAction> actions) {
        if (finished || held) {
            return;
        }
        if (retryDue && nowNanos - retryAtNanos >= 0) {
            retryDue = false;
            retryAnywhere(nowNanos, actions);
        } else if (isHedgeDue(nowNanos) && denial.isEmpty()) {
            hedge(nowNanos, actions);
        } else if (isHedgeDue(nowNanos)) {
            refuseHedge(denial.get(), nowNanos, actions);
        }
    }

    /** Returns when this shard wants to be woken next, or the given moment if it does not. */
    long nextWakeNanos(long otherwiseNanos) {
        if (finished || delegated || closed || held) {
            return otherwiseNanos;
        }
        if (retryDue) {
            return retryAtNanos;
        }
        boolean mayHedge = hedged && hedgeSchedule.isOpen() && attempts.size() == 1;
        return mayHedge ? hedgeSchedule.dueNanos(attempts.get(0)) : otherwiseNanos;
    }

    boolean isFinished() {
        return finished;
    }

    /** Returns true if no attempt can have run the request. */
    boolean isNotRun() {
        return spentElsewhere == 0 && attempts.stream().allMatch(Attempt::isNotRun);
    }

    /** Returns true if any attempt was made, here or elsewhere. */
    boolean wasAsked() {
        return spentElsewhere > 0 || !attempts.isEmpty();
    }

    /** Returns why a request that has not run could not be served. */
    RefusalReason notRunReason() {
        if (isBarred()) {
            return RefusalReason.HARMFUL;
        }
        if (wasAsked()) {
            return RefusalReason.ALL_BUSY;
        }
        return pool.areAllOutsideHomeRegions() ? RefusalReason.NO_LEAF_AT_HOME : RefusalReason.NO_LEAF;
    }

    /** Returns true if an attempt was not made because requests like it end leafs. */
    boolean isBarred() {
        return attempts.stream().anyMatch(Attempt::isBarred);
    }

    /** Returns true if a leaf may have seen the request. */
    boolean wasSent() {
        return spentElsewhere > 0 || !attempts.stream().allMatch(Attempt::isNotSent);
    }

    /** Returns true if more than one leaf was asked. */
    boolean wasAskedTwice() {
        return spentElsewhere + attempts.size() > 1;
    }

    /** Returns in words what was tried and how it stands, for a log line. */
    String describe(long nowNanos) {
        StringBuilder text = new StringBuilder(pool.service());
        if (spentElsewhere > 0) {
            text.append(" elsewhere=").append(spentElsewhere);
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

    /** Returns true if the first attempt is late and none was made since. */
    boolean isHedgeDue(long nowNanos) {
        return !finished
                && !closed
                && hedged
                && hedgeSchedule.isOpen()
                && attempts.size() == 1
                && !attempts.get(0).isFinished()
                && nowNanos - hedgeSchedule.dueNanos(attempts.get(0)) >= 0;
    }

    /** Counts a hedge that is not made; a little later things may look better. */
    private void refuseHedge(AttemptCounter reason, long nowNanos, List<RoutedAction> actions) {
        hedgeSchedule.refuse(attempts.get(0), nowNanos);
        actions.add(new RoutedAction.Count(reason));
    }

    private void hedge(long nowNanos, List<RoutedAction> actions) {
        Optional<Leaf> other = mayRunCount() >= bounds.maxAttempts()
                ? Optional.empty()
                : pool.choose(leaf -> isGoodForHedge(leaf, nowNanos), bounds.expectedNanos(), random, nowNanos);
        if (other.isEmpty()) {
            refuseHedge(AttemptCounter.HEDGE_DENIED_NO_LEAF, nowNanos, actions);
        } else if (hedgeSchedule.isEarly(attempts.get(0), nowNanos) && !savesTime(other.get(), nowNanos)) {
            refuseHedge(AttemptCounter.HEDGE_DENIED_NO_GAIN, nowNanos, actions);
        } else if (!pool.budget().tryWithdrawAbove(RESERVED_FOR_RETRIES_PERCENT, nowNanos)) {
            refuseHedge(AttemptCounter.HEDGE_DENIED_BUDGET, nowNanos, actions);
        } else {
            actions.add(new RoutedAction.Count(AttemptCounter.HEDGE));
            ask(other.get(), Attempt.Purpose.HEDGE, nowNanos, actions);
        }
    }

    /** Returns true if the whole of another attempt is expected to take less than the rest of the overdue one. */
    private boolean savesTime(Leaf other, long nowNanos) {
        return other.costNanos(bounds.expectedNanos(), nowNanos) < Leaf.STALL_HANDICAP_NANOS;
    }

    /** A hedge at a leaf that is full, or late itself, makes both worse. */
    private boolean isGoodForHedge(Leaf leaf, long nowNanos) {
        return !wasAsked(leaf)
                && !leaf.isEjected(nowNanos)
                && !leaf.isOverloaded(nowNanos)
                && !leaf.isStalled(nowNanos)
                && leaf.refusalRate(nowNanos) < MOST_REFUSALS_FOR_HEDGE;
    }

    private void retry(long nowNanos, List<RoutedAction> actions) {
        if (!mayTryAgain()) {
            giveUp(AttemptCounter.RETRY_DENIED_ATTEMPTS, actions);
            return;
        }
        Optional<Leaf> untried = pool.choose(leaf -> !wasAsked(leaf), bounds.expectedNanos(), random, nowNanos);
        if (untried.isPresent()) {
            spendOnRetry(untried.get(), nowNanos, actions);
            return;
        }
        boolean inTime = nowNanos + BACKOFF_NANOS + bounds.expectedNanos() - bounds.deadlineNanos() < 0;
        if (!inTime || attempts.isEmpty()) {
            giveUp(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
            return;
        }
        retryDue = true;
        retryAtNanos = nowNanos + BACKOFF_NANOS * attempts.size() + random.nextLong(BACKOFF_NANOS);
    }

    private void retryAnywhere(long nowNanos, List<RoutedAction> actions) {
        Optional<Leaf> any = pool.choose(leaf -> true, bounds.expectedNanos(), random, nowNanos);
        if (any.isPresent()) {
            spendOnRetry(any.get(), nowNanos, actions);
        } else {
            giveUp(AttemptCounter.RETRY_DENIED_NO_LEAF, actions);
        }
    }

    /** Makes another attempt; it is paid for unless no leaf has seen an earlier one, so that it is the first there. */
    private void spendOnRetry(Leaf leaf, long nowNanos, List<RoutedAction> actions) {
        if (wasSent() && !pool.budget().tryWithdraw(nowNanos)) {
            giveUp(AttemptCounter.RETRY_DENIED_BUDGET, actions);
            return;
        }
        actions.add(new RoutedAction.Count(AttemptCounter.RETRY));
        ask(leaf, Attempt.Purpose.RETRY, nowNanos, actions);
    }

    private void ask(Leaf leaf, Attempt.Purpose purpose, long nowNanos, List<RoutedAction> actions) {
        Attempt attempt = new Attempt(this, leaf, purpose, nowNanos, overdueNanos(leaf, nowNanos));
        attempts.add(attempt);
        actions.add(new RoutedAction.CallLeaf(attempt));
    }

    /** Returns when an attempt that is made now will be overdue at its leaf. */
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
            onFinished.run();
        }
    }

    private void giveUp(AttemptCounter reason, List<RoutedAction> actions) {
        end();
        actions.add(new RoutedAction.Count(reason));
    }

    private boolean mayTryAgain() {
        if (closed || (!repeatable && !isNotRun())) {
            return false;
        }
        return mayRunCount() < bounds.maxAttempts() && attempts.size() < bounds.maxAttempts() + MAX_REFUSED;
    }

    private int mayRunCount() {
        int count = spentElsewhere;
        for (Attempt attempt : attempts) {
            count += attempt.isNotRun() ? 0 : 1;
        }
        return count;
    }

    private boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(attempt -> !attempt.isFinished());
    }

    private boolean wasAsked(Leaf leaf) {
        return attempts.stream().anyMatch(attempt -> attempt.leaf() == leaf);
    }
}
