package org.bramblerack.request.routed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;

/**
 * The decisions of one request to one leaf of a service: whom to ask, when to ask another, and what to tell the caller.
 *
 * <p>Invariants: a request that must not run twice is sent to a second leaf only after the first is known not to have
 * run it, and is never hedged. Exactly one {@link RoutedAction.DeliverAnswer} or {@link RoutedAction.Refuse} is
 * returned, unless the caller goes away first; a refusal says that the request has not run only if that is certain. A
 * leaf's own failure is passed on if no other leaf may be asked. Not safe for use by several threads.
 */
public final class ForwardedRequest {
    private final ShardRequest request;
    private final RequestBounds bounds;
    private Optional<Attempt> lastFailure = Optional.empty();
    private boolean lost;
    private boolean over;
    private long armedWakeNanos;
    private boolean wakeArmed;

    /**
     * Creates a request; nothing is asked before {@link #start}.
     *
     * @param repeatable true if it may run more than once
     */
    public ForwardedRequest(PermittedLeaves pool, boolean repeatable, RequestBounds bounds, RandomGenerator random) {
        this.request = new ShardRequest(pool, bounds, repeatable, repeatable, random, () -> {});
        this.bounds = bounds;
    }

    /** Begins with the first attempt. */
    public List<RoutedAction> start(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        request.start(nowNanos, actions);
        decide(nowNanos, actions);
        return actions;
    }

    /** Takes a whole answer of a leaf that counts as success. */
    public List<RoutedAction> onAnswer(Attempt attempt) {
        List<RoutedAction> actions = new ArrayList<>(1);
        if (over) {
            attempt.finish(Attempt.State.ANSWERED);
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        request.answered(attempt, actions);
        end(actions);
        actions.add(new RoutedAction.DeliverAnswer(attempt));
        return actions;
    }

    /**
     * Takes the failure of an attempt.
     *
     * @param hasAnswer true if the leaf answered with a failure of its own that may be passed on to the caller
     */
    public List<RoutedAction> onFailure(Attempt attempt, LeafOutcome outcome, boolean hasAnswer, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (hasAnswer) {
            lastFailure = Optional.of(attempt);
        }
        lost |= outcome == LeafOutcome.BROKEN || outcome == LeafOutcome.GARBLED;
        request.failed(attempt, outcome, nowNanos, actions);
        if (!over) {
            decide(nowNanos, actions);
        }
        return actions;
    }

    /** Looks at the time: hedges or retries what is due, and refuses when the deadline has come. */
    public List<RoutedAction> wake(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        wakeArmed = false;
        request.wake(Optional.empty(), nowNanos, actions);
        decide(nowNanos, actions);
        return actions;
    }

    /** Ends the request because its caller went away. */
    public void callerGone() {
        over = true;
        request.abandon();
    }

    /** Returns true once the request has been answered or has lost its caller. */
    public boolean isOver() {
        return over;
    }

    /**
     * Returns why the request is refused, by what came of the attempts that were given up with it: if none of them had
     * been sent, it has not run.
     */
    public RefusalReason finalRefusalReason(RefusalReason decided) {
        return request.isNotRun() ? request.notRunReason() : decided;
    }

    /** Returns in words what was tried, for a log line. */
    public String describe(long nowNanos) {
        return request.describe(nowNanos);
    }

    private void decide(long nowNanos, List<RoutedAction> actions) {
        boolean deadlineCome = nowNanos - bounds.deadlineNanos() >= 0;
        if (!request.isFinished() && !deadlineCome) {
            armWake(actions);
            return;
        }
        boolean notRun = request.isNotRun();
        end(actions);
        if (lastFailure.isPresent()) {
            actions.add(new RoutedAction.DeliverAnswer(lastFailure.get()));
        } else if (notRun) {
            actions.add(new RoutedAction.Refuse(request.notRunReason()));
        } else {
            actions.add(new RoutedAction.Refuse(
                    deadlineCome && !lost ? RefusalReason.TIME_UP : RefusalReason.OUTCOME_UNKNOWN));
        }
    }

    private void end(List<RoutedAction> actions) {
        over = true;
        request.finish(actions);
    }

    private void armWake(List<RoutedAction> actions) {
        long next = bounds.deadlineNanos();
        long wakeNanos = request.nextWakeNanos(next);
        if (wakeNanos - next < 0) {
            next = wakeNanos;
        }
        if (!wakeArmed || next - armedWakeNanos < 0) {
            wakeArmed = true;
            armedWakeNanos = next;
            actions.add(new RoutedAction.Wake(next));
        }
    }
}
