package org.bramblerack.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.bramblerack.version.Priority;

/** The queued queries of one service and its adaptive limit. Not thread-safe. */
final class ServiceQueue {
    /** One admission in this many goes to a queued normal query, so that urgent ones cannot starve it. */
    static final int NORMAL_EVERY = 8;

    private static final int MAX_WAITING = 1_000;

    private final Deque<Admission.Ticket> urgent = new ArrayDeque<>();
    private final Deque<Admission.Ticket> normal = new ArrayDeque<>();
    private final AdaptiveLimit limit;
    private int inFlight;
    private int urgentSinceNormal;

    ServiceQueue(int maxLimit) {
        this.limit = new AdaptiveLimit(maxLimit);
    }

    void add(Admission.Ticket ticket) {
        (ticket.priority() == Priority.URGENT ? urgent : normal).addLast(ticket);
    }

    boolean isFull() {
        return waiting() >= MAX_WAITING;
    }

    int waiting() {
        return urgent.size() + normal.size();
    }

    int inFlight() {
        return inFlight;
    }

    boolean canAdmit() {
        return waiting() > 0 && inFlight < limit.limit();
    }

    Admission.Ticket takeNext() {
        inFlight++;
        boolean normalDue = !normal.isEmpty() && urgentSinceNormal >= NORMAL_EVERY - 1;
        if (urgent.isEmpty() || normalDue) {
            urgentSinceNormal = 0;
            return normal.removeFirst();
        }
        urgentSinceNormal++;
        return urgent.removeFirst();
    }

    void onFinished(long tookNanos, boolean deadlineExceeded, long nowNanos) {
        limit.observe(tookNanos, deadlineExceeded, inFlight, nowNanos);
        inFlight--;
    }

    long expectedWaitNanos(Priority priority) {
        if (inFlight < limit.limit() && waiting() == 0) {
            return 0;
        }
        int ahead = priority == Priority.URGENT ? urgent.size() : waiting();
        return limit.averageNanos() * (1 + ahead) / limit.limit();
    }

    /** Returns true if the query is expected to meet its deadline, or has not passed it and need not wait. */
    boolean canMeetDeadline(Admission.Ticket ticket, long waitNanos, long nowNanos) {
        long neededNanos = waitNanos == 0 ? 0 : waitNanos + limit.expectedNanos();
        return nowNanos + neededNanos - ticket.deadlineNanos() < 0;
    }

    /**
     * Removes and returns the queries that would miss their deadline even if they started now. While none is in flight
     * the latency estimate is ignored, because only an admitted query can correct it.
     */
    List<Admission.Ticket> removeUnmeetable(long nowNanos) {
        List<Admission.Ticket> removed = new ArrayList<>();
        long expectedEndNanos = inFlight == 0 ? nowNanos : nowNanos + limit.expectedNanos();
        removeUnmeetable(urgent, expectedEndNanos, removed);
        removeUnmeetable(normal, expectedEndNanos, removed);
        return removed;
    }

    private static void removeUnmeetable(
            Deque<Admission.Ticket> queue, long expectedEndNanos, List<Admission.Ticket> removed) {
        Iterator<Admission.Ticket> tickets = queue.iterator();
        while (tickets.hasNext()) {
            Admission.Ticket ticket = tickets.next();
            if (expectedEndNanos - ticket.deadlineNanos() >= 0) {
                tickets.remove();
                removed.add(ticket);
            }
        }
    }
}
