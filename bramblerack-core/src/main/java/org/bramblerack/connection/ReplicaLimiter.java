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
 * The one queue before an upstream, kept by the host that holds its connections.
 *
 * <p>Invariants: at most the limit of calls are at the upstream; an urgent call goes before every normal one, except
 * that one dispatch in {@value #NORMAL_EVERY} goes to a waiting normal call; a call that cannot finish within its
 * deadline is refused before it is sent, at once if that is clear when it comes.
 *
 * <p>Not safe for use by several threads: the holder's table guards each gate with its lock.
 */
public final class ReplicaLimiter {
    static final int NORMAL_EVERY = 8;
    private static final int MAX_WAITING = 256;
    private static final double SMOOTHING = 0.1;
    private static final double SHED_FACTOR = 0.5;
    private static final double GROWTH = 0.1;
    private static final long INITIAL_SERVICE_NANOS = Duration.ofMillis(1).toNanos();

    private int slots;
    private final Map<Priority, Deque<Waiting>> queues = new EnumMap<>(Priority.class);
    private final Map<String, Long> runningSinceNanos = new HashMap<>();
    private double limit;
    private double serviceNanos = INITIAL_SERVICE_NANOS;
    private int dispatchesSinceNormal;

    /**
     * Creates the gate of an idle upstream.
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

    /** Takes over how many calls the upstream works on at a time. */
    public void setSlots(int declared) {
        checkArgument(declared > 0, "slots %s is not positive", declared);
        if (declared != slots) {
            slots = declared;
            limit = declared;
        }
    }

    /** Takes a new call. */
    public List<LimiterAction> submit(String callId, Priority priority, long deadlineNanos, long nowNanos) {
        if (waiting() >= MAX_WAITING || !canFinish(priority, deadlineNanos, nowNanos)) {
            return ImmutableList.of(new LimiterAction.Refuse(callId, LeafFailure.QUEUE_FULL));
        }
        queueOf(priority).addLast(new Waiting(callId, deadlineNanos));
        return dispatch(nowNanos);
    }

    /** Takes the end of a call that the upstream worked on. */
    public List<LimiterAction> onFinished(String callId, long nowNanos) {
        Long since = runningSinceNanos.remove(callId);
        if (since != null) {
            serviceNanos += SMOOTHING * (nowNanos - since - serviceNanos);
            limit = Math.min(slots, limit + GROWTH);
        }
        return dispatch(nowNanos);
    }

    /** Takes the end of a call that the upstream shed: fewer are sent at a time for a while. */
    public List<LimiterAction> onShed(String callId, long nowNanos) {
        if (runningSinceNanos.remove(callId) != null) {
            limit = Math.max(1.0, limit * SHED_FACTOR);
        }
        return dispatch(nowNanos);
    }

    /** Cancels a call, waiting or running. A running one keeps its place until it has finished. */
    public List<LimiterAction> cancel(String callId) {
        for (Deque<Waiting> queue : queues.values()) {
            if (queue.removeIf(waiting -> waiting.callId().equals(callId))) {
                return ImmutableList.of(new LimiterAction.Refuse(callId, LeafFailure.CANCELLED));
            }
        }
        return runningSinceNanos.containsKey(callId)
                ? ImmutableList.of(new LimiterAction.CancelAtUpstream(callId))
                : ImmutableList.of();
    }

    /** Returns how many calls wait. */
    public int waiting() {
        int total = 0;
        for (Deque<Waiting> queue : queues.values()) {
            total += queue.size();
        }
        return total;
    }

    /** Returns how many calls are at the upstream. */
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
            Waiting next = takeNext();
            runningSinceNanos.put(next.callId(), nowNanos);
            actions.add(new LimiterAction.Dispatch(next.callId()));
        }
        return actions;
    }

    private Waiting takeNext() {
        Deque<Waiting> urgent = queueOf(Priority.URGENT);
        Deque<Waiting> normal = queueOf(Priority.NORMAL);
        boolean turnOfNormal = !normal.isEmpty() && dispatchesSinceNormal >= NORMAL_EVERY - 1;
        if (urgent.isEmpty() || turnOfNormal) {
            dispatchesSinceNormal = 0;
            return normal.removeFirst();
        }
        dispatchesSinceNormal++;
        return urgent.removeFirst();
    }

    private void refuseExpired(long nowNanos, List<LimiterAction> actions) {
        for (Deque<Waiting> queue : queues.values()) {
            Iterator<Waiting> iterator = queue.iterator();
            while (iterator.hasNext()) {
                Waiting waiting = iterator.next();
                if (nowNanos + (long) (serviceNanos / 2) - waiting.deadlineNanos() >= 0) {
                    iterator.remove();
                    actions.add(new LimiterAction.Refuse(waiting.callId(), LeafFailure.EXPIRED));
                }
            }
        }
    }

    private Deque<Waiting> queueOf(Priority priority) {
        Deque<Waiting> queue = queues.get(priority);
        if (queue == null) {
            throw new IllegalStateException("no queue for " + priority);
        }
        return queue;
    }

    private record Waiting(String callId, long deadlineNanos) {}
}
