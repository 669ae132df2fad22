package org.bramblerack.connection;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.version.Priority;

/**
 * Limits the concurrent calls to one upstream and queues the rest, on the host that holds the connections to it.
 *
 * <p>Invariants: no more calls than the concurrency limit run at the upstream; urgent calls are dispatched before
 * normal ones, except that one dispatch in {@value #NORMAL_INTERVAL} goes to a queued normal call; a call that cannot
 * finish within its deadline is refused without being sent. The limit grows additively with each finished call, and
 * decreases by a factor when the upstream sheds one.
 *
 * <p>Not safe for use by several threads: callers guard each limiter with a lock.
 */
public final class ReplicaLimiter {
    static final int NORMAL_INTERVAL = 8;
    private static final int MAX_QUEUED = 256;
    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double DECREASE_FACTOR = 0.5;
    private static final double LIMIT_INCREASE = 0.1;
    private static final long INITIAL_SERVICE_NANOS = Duration.ofMillis(1).toNanos();

    private int slots;
    private final Map<Priority, Deque<QueuedCall>> queues = new EnumMap<>(Priority.class);
    private final Map<String, Long> runningSinceNanos = new HashMap<>();
    private double limit;
    private double serviceNanos = INITIAL_SERVICE_NANOS;
    private int dispatchesSinceNormal;

    /**
     * Creates the limiter of an idle upstream.
     *
     * @param slots how many calls the upstream works on at a time, at least 1
     */
    public ReplicaLimiter(int slots) {
        checkArgument(slots > 0, "slots %s is not positive", slots);
        this.slots = slots;
        this.limit = slots;
        for (Priority priority : Priority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /** Sets how many calls the upstream works on at a time. */
    public void setSlots(int declared) {
        checkArgument(declared > 0, "slots %s is not positive", declared);
        if (declared != slots) {
            slots = declared;
            limit = declared;
        }
    }

    /** Submits a call, which is dispatched, queued, or refused if it cannot finish within its deadline. */
    public List<LimiterAction> submit(String callId, Priority priority, long deadlineNanos, long nowNanos) {
        if (waiting() >= MAX_QUEUED || !canFinish(priority, deadlineNanos, nowNanos)) {
            return ImmutableList.of(new LimiterAction.Refuse(callId, LeafFailure.QUEUE_FULL));
        }
        queueOf(priority).addLast(new QueuedCall(callId, deadlineNanos));
        return dispatch(nowNanos);
    }

    /** Handles the end of a call that the upstream ran. */
    public List<LimiterAction> onFinished(String callId, long nowNanos) {
        Long since = runningSinceNanos.remove(callId);
        if (since != null) {
            serviceNanos += SMOOTHING_FACTOR * (nowNanos - since - serviceNanos);
            limit = Math.min(slots, limit + LIMIT_INCREASE);
        }
        return dispatch(nowNanos);
    }

    /** Handles a call that the upstream shed, and decreases the concurrency limit. */
    public List<LimiterAction> onShed(String callId, long nowNanos) {
        if (runningSinceNanos.remove(callId) != null) {
            limit = Math.max(1.0, limit * DECREASE_FACTOR);
        }
        return dispatch(nowNanos);
    }

    /** Cancels a queued or running call. A running one occupies its slot until it has finished. */
    public List<LimiterAction> cancel(String callId) {
        for (Deque<QueuedCall> queue : queues.values()) {
            if (queue.removeIf(waiting -> waiting.callId().equals(callId))) {
                return ImmutableList.of(new LimiterAction.Refuse(callId, LeafFailure.CANCELLED));
            }
        }
        return runningSinceNanos.containsKey(callId)
                ? ImmutableList.of(new LimiterAction.CancelAtUpstream(callId))
                : ImmutableList.of();
    }

    /** Returns the number of queued calls. */
    public int waiting() {
        int total = 0;
        for (Deque<QueuedCall> queue : queues.values()) {
            total += queue.size();
        }
        return total;
    }

    /** Returns the number of calls at the upstream. */
    public int running() {
        return runningSinceNanos.size();
    }

    private boolean canFinish(Priority priority, long deadlineNanos, long nowNanos) {
        int ahead = priority == Priority.URGENT ? queueOf(Priority.URGENT).size() : waiting();
        int rounds = running() < limit ? 0 : 1 + ahead / Math.max(1, (int) limit);
        long doneNanos = nowNanos + (long) (serviceNanos * (rounds + 1));
        return doneNanos - deadlineNanos < 0;
    }

    private List<LimiterAction> dispatch(long nowNanos) {
        List<LimiterAction> actions = new ArrayList<>();
        refuseExpired(nowNanos, actions);
        while (running() < (int) limit && waiting() > 0) {
            QueuedCall next = pollNext();
            runningSinceNanos.put(next.callId(), nowNanos);
            actions.add(new LimiterAction.Dispatch(next.callId()));
        }
        return actions;
    }

    private QueuedCall pollNext() {
        Deque<QueuedCall> urgent = queueOf(Priority.URGENT);
        Deque<QueuedCall> normal = queueOf(Priority.NORMAL);
        boolean normalIsDue = !normal.isEmpty() && dispatchesSinceNormal >= NORMAL_INTERVAL - 1;
        if (urgent.isEmpty() || normalIsDue) {
            dispatchesSinceNormal = 0;
            return normal.removeFirst();
        }
        dispatchesSinceNormal++;
        return urgent.removeFirst();
    }

    private void refuseExpired(long nowNanos, List<LimiterAction> actions) {
        for (Deque<QueuedCall> queue : queues.values()) {
            Iterator<QueuedCall> iterator = queue.iterator();
            while (iterator.hasNext()) {
                QueuedCall waiting = iterator.next();
                if (nowNanos + (long) (serviceNanos / 2) - waiting.deadlineNanos() >= 0) {
                    iterator.remove();
                    actions.add(new LimiterAction.Refuse(waiting.callId(), LeafFailure.EXPIRED));
                }
            }
        }
    }

    private Deque<QueuedCall> queueOf(Priority priority) {
        Deque<QueuedCall> queue = queues.get(priority);
        if (queue == null) {
            throw new IllegalStateException("no queue for " + priority);
        }
        return queue;
    }

    private record QueuedCall(String callId, long deadlineNanos) {}
}
