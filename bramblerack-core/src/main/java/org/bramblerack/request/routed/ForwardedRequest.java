package org.bramblerack.request.routed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;

/**
 * The decisions of one request to one leaf of a service: which leaf to call, when to call another, and what to answer
 * the caller.
 *
 * <p>Invariants: a request that must not run twice is sent to a second leaf only if the first has certainly not run it,
 * and is never hedged. Exactly one {@link RoutedAction.DeliverAnswer} or {@link RoutedAction.Refuse} is returned,
 * unless the caller disconnects first; a refusal states that the request has not run only if that is certain. A leaf's
 * own failure is delivered to the caller if no other leaf may be called. Not safe for use by several threads.
 */
public final class ForwardedRequest {
    private static final ShardListener NO_LISTENER = new ShardListener() {
        @Override
        public void onFinished() {
            // This class checks after each event whether the request has finished.
        }

        @Override
        public void onAttemptRequested() {
            throw new IllegalStateException("a request of a caller has no delegating host");
        }
    };

    private final ShardRequest request;
    private final RequestBounds bounds;
    private Optional<Attempt> lastFailure = Optional.empty();
    private boolean outcomeUnknown;
    private boolean over;
    private long scheduledWakeNanos;
    private boolean wakeScheduled;

    /**
     * Creates a request; no leaf is called before {@link #start}.
     *
     * @param repeatable true if the request may run more than once
     */
    public ForwardedRequest(PermittedLeaves pool, boolean repeatable, RequestBounds bounds, RandomGenerator random) {
        this.request = new ShardRequest(pool, bounds, repeatable, repeatable, random, NO_LISTENER);
        this.bounds = bounds;
    }

    /** Makes the first attempt. */
    public List<RoutedAction> start(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        request.start(nowNanos, actions);
        finishOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Handles a complete, successful answer of a leaf. */
    public List<RoutedAction> onAnswer(Attempt attempt) {
        List<RoutedAction> actions = new ArrayList<>(1);
        if (over) {
            attempt.finish(Attempt.State.ANSWERED);
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        request.onAnswer(attempt, actions);
        end(actions);
        actions.add(new RoutedAction.DeliverAnswer(attempt));
        return actions;
    }

    /**
     * Handles the failure of an attempt.
     *
     * @param hasAnswer true if the leaf answered with a failure of its own that may be delivered to the caller
     */
    public List<RoutedAction> onFailure(Attempt attempt, LeafOutcome outcome, boolean hasAnswer, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (hasAnswer) {
            lastFailure = Optional.of(attempt);
        }
        outcomeUnknown |= outcome == LeafOutcome.BROKEN || outcome == LeafOutcome.GARBLED;
        request.onFailure(attempt, outcome, nowNanos, actions);
        if (!over) {
            finishOrScheduleWake(nowNanos, actions);
        }
        return actions;
    }

    /** Makes the hedge or retry that is due, and refuses the request once the deadline has passed. */
    public List<RoutedAction> wake(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        wakeScheduled = false;
        request.wake(Optional.empty(), nowNanos, actions);
        finishOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Ends the request as if its deadline had passed, because this host is about to end. */
    public List<RoutedAction> endNow() {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (!over) {
            finishOrScheduleWake(bounds.deadlineNanos(), actions);
        }
        return actions;
    }

    /** Ends the request after its caller disconnected. */
    public void callerGone() {
        over = true;
        request.abandon();
    }

    /** Returns true once the request has been answered or refused, or its caller has disconnected. */
    public boolean isOver() {
        return over;
    }

    /**
     * Returns the refusal reason after the remaining attempts were abandoned: if none of the attempts was sent, the
     * request has not run.
     *
     * @param provisional the reason that was determined before the attempts were abandoned
     */
    public RefusalReason finalRefusalReason(RefusalReason provisional) {
        return request.isNotRun() ? request.notRunReason() : provisional;
    }

    /** Describes the attempts for a log line. */
    public String describe(long nowNanos) {
        return request.describe(nowNanos);
    }

    private void finishOrScheduleWake(long nowNanos, List<RoutedAction> actions) {
        boolean deadlineReached = nowNanos - bounds.deadlineNanos() >= 0;
        if (!request.isFinished() && !deadlineReached) {
            scheduleWake(actions);
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
                    deadlineReached && !outcomeUnknown ? RefusalReason.TIME_UP : RefusalReason.OUTCOME_UNKNOWN));
        }
    }

    private void end(List<RoutedAction> actions) {
        over = true;
        request.finish(actions);
    }

    private void scheduleWake(List<RoutedAction> actions) {
        long next = bounds.deadlineNanos();
        long wakeNanos = request.nextWakeNanos(next);
        if (wakeNanos - next < 0) {
            next = wakeNanos;
        }
        if (!wakeScheduled || next - scheduledWakeNanos < 0) {
            wakeScheduled = true;
            scheduledWakeNanos = next;
            actions.add(new RoutedAction.Wake(next));
        }
    }
}
