package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bramblerack.version.Priority;
import org.jspecify.annotations.Nullable;

/**
 * Decides which queries of a host are in flight and which wait or are refused.
 *
 * <p>Invariants: at most the limit is in flight; some places are kept for every other partner, so that one partner's
 * flood never takes them all; within a partner urgent goes before normal, except that one admission in
 * {@value #NORMAL_EVERY} goes to a waiting normal query; a query that cannot begin in time is refused when it comes or
 * when that becomes clear.
 *
 * <p>Not safe for use by several threads: the owner guards it with a lock that comes before the query's.
 */
public final class Admission {
    static final int NORMAL_EVERY = 8;
    private static final int MAX_WAITING_PER_PARTNER = 1_000;
    private static final int RESERVED_DIVISOR = 8;
    private static final double SMOOTHING = 0.1;
    private static final long INITIAL_QUERY_NANOS = Duration.ofMillis(10).toNanos();

    private final int limit;
    private final Map<String, PartnerQueue> partners = new TreeMap<>();
    private int inFlight;
    private double queryNanos = INITIAL_QUERY_NANOS;

    /**
     * Creates an empty admission.
     *
     * @param limit how many queries may be in flight, at least 1
     */
    public Admission(int limit) {
        checkArgument(limit > 0, "limit %s is not positive", limit);
        this.limit = limit;
    }

    /** A query that asks to be admitted. */
    public record Ticket(String id, String partner, Priority priority, long deadlineNanos) {}

    /** What is decided about a ticket. */
    public sealed interface Decision {
        /** Begin the query. */
        record Admit(Ticket ticket) implements Decision {}

        /** Refuse the query; it was not begun. */
        record Refuse(Ticket ticket, Duration retryAfter) implements Decision {}
    }

    /** Takes a new query. */
    public List<Decision> offer(Ticket ticket, long nowNanos) {
        PartnerQueue queue = partners.computeIfAbsent(ticket.partner(), unused -> new PartnerQueue());
        long waitNanos = expectedWaitNanos(queue, ticket.priority());
        boolean tooLate = nowNanos + waitNanos - ticket.deadlineNanos() >= 0;
        if (tooLate || queue.waiting() >= MAX_WAITING_PER_PARTNER) {
            return ImmutableList.of(new Decision.Refuse(ticket, Duration.ofNanos(Math.max(1, waitNanos))));
        }
        queue.of(ticket.priority()).addLast(ticket);
        return admit(nowNanos);
    }

    /** Takes the end of an admitted query. */
    public List<Decision> finished(String partner, long tookNanos, long nowNanos) {
        PartnerQueue queue = partners.computeIfAbsent(partner, unused -> new PartnerQueue());
        checkArgument(queue.inFlight > 0, "partner %s has no query in flight", partner);
        queue.inFlight--;
        inFlight--;
        queryNanos += SMOOTHING * (tookNanos - queryNanos);
        return admit(nowNanos);
    }

    /** Refuses the queries whose time is up. */
    public List<Decision> expire(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        for (PartnerQueue queue : partners.values()) {
            refuseExpired(queue.urgent, nowNanos, decisions);
            refuseExpired(queue.normal, nowNanos, decisions);
        }
        return decisions;
    }

    /** Returns how many queries are in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns how many queries wait. */
    public int waiting() {
        return partners.values().stream().mapToInt(PartnerQueue::waiting).sum();
    }

    private List<Decision> admit(long nowNanos) {
        List<Decision> decisions = new ArrayList<>(expire(nowNanos));
        while (inFlight < limit) {
            PartnerQueue next = nextPartner();
            if (next == null) {
                break;
            }
            Ticket ticket = next.take();
            next.inFlight++;
            inFlight++;
            decisions.add(new Decision.Admit(ticket));
        }
        return decisions;
    }

    /** Returns the partner with waiting queries and the fewest in flight, if it is below its most. */
    private @Nullable PartnerQueue nextPartner() {
        PartnerQueue best = null;
        for (PartnerQueue candidate : partners.values()) {
            boolean eligible = candidate.waiting() > 0 && candidate.inFlight < mostPerPartner();
            if (eligible && (best == null || candidate.inFlight < best.inFlight)) {
                best = candidate;
            }
        }
        return best;
    }

    private int mostPerPartner() {
        int others = Math.max(0, partners.size() - 1);
        return Math.max(1, limit - others * (limit / RESERVED_DIVISOR));
    }

    private long expectedWaitNanos(PartnerQueue queue, Priority priority) {
        if (inFlight < limit && queue.inFlight < mostPerPartner()) {
            return 0;
        }
        int ahead = priority == Priority.URGENT ? queue.urgent.size() : queue.waiting();
        return (long) (queryNanos * (1 + (double) ahead / mostPerPartner()));
    }

    private static void refuseExpired(Deque<Ticket> queue, long nowNanos, List<Decision> decisions) {
        Iterator<Ticket> tickets = queue.iterator();
        while (tickets.hasNext()) {
            Ticket ticket = tickets.next();
            if (nowNanos - ticket.deadlineNanos() >= 0) {
                tickets.remove();
                decisions.add(new Decision.Refuse(ticket, Duration.ofMillis(1)));
            }
        }
    }

    /** The waiting queries of one partner. */
    private static final class PartnerQueue {
        private final Deque<Ticket> urgent = new ArrayDeque<>();
        private final Deque<Ticket> normal = new ArrayDeque<>();
        private int inFlight;
        private int sinceNormal;

        Deque<Ticket> of(Priority priority) {
            return priority == Priority.URGENT ? urgent : normal;
        }

        int waiting() {
            return urgent.size() + normal.size();
        }

        Ticket take() {
            boolean turnOfNormal = !normal.isEmpty() && sinceNormal >= NORMAL_EVERY - 1;
            if (urgent.isEmpty() || turnOfNormal) {
                sinceNormal = 0;
                return normal.removeFirst();
            }
            sinceNormal++;
            return urgent.removeFirst();
        }
    }
}
