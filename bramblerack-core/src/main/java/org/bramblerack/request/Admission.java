package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServiceName;

/**
 * Decides which queries of a host are in flight and which wait or are refused.
 *
 * <p>Invariants: at most the host's limit is in flight, and of each service at most its adaptive limit; some places are
 * kept for every other partner, so that one partner's flood never takes them all; within a service urgent goes before
 * normal, except that one admission in {@link ServiceQueue#NORMAL_EVERY} goes to a waiting normal query; a query that
 * cannot finish in time is refused when that becomes clear, before it costs an upstream anything.
 *
 * <p>Not safe for use by several threads: the owner guards it with a lock that comes before the query's. An event costs
 * time in proportion to the services with waiting queries.
 */
public final class Admission {
    private static final int RESERVED_DIVISOR = 8;

    private final int limit;
    private final Map<ServiceName, ServiceQueue> services = new TreeMap<>();
    private final Map<String, Integer> inFlightOfPartner = new HashMap<>();
    private int inFlight;

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
    public record Ticket(String id, ServiceName service, Priority priority, long deadlineNanos) {}

    /** What is decided about a ticket. */
    public sealed interface Decision {
        /** Begin the query. */
        record Admit(Ticket ticket) implements Decision {}

        /** Refuse the query; it was not begun. */
        record Refuse(Ticket ticket, Duration retryAfter) implements Decision {}
    }

    /** Takes a new query. */
    public List<Decision> offer(Ticket ticket, long nowNanos) {
        inFlightOfPartner.putIfAbsent(ticket.service().partner(), 0);
        ServiceQueue queue = services.computeIfAbsent(ticket.service(), unused -> new ServiceQueue(limit));
        long waitNanos = queue.expectedWaitNanos(ticket.priority());
        if (!queue.canFinish(ticket, waitNanos, nowNanos) || queue.isFull()) {
            return ImmutableList.of(refuse(ticket, queue));
        }
        queue.add(ticket);
        return admit(nowNanos);
    }

    /**
     * Takes the end of an admitted query.
     *
     * @param tookNanos from its admission to its end
     */
    public List<Decision> onFinished(Ticket ticket, long tookNanos, long nowNanos) {
        ServiceQueue queue = services.get(ticket.service());
        checkArgument(queue != null && queue.inFlight() > 0, "no query of %s is in flight", ticket.service());
        boolean ranOutOfTime = nowNanos - ticket.deadlineNanos() >= 0;
        queue.finished(tookNanos, ranOutOfTime, nowNanos);
        inFlightOfPartner.merge(ticket.service().partner(), -1, Integer::sum);
        inFlight--;
        return admit(nowNanos);
    }

    /** Refuses the waiting queries that can no longer finish in time. */
    public List<Decision> expire(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        for (ServiceQueue queue : services.values()) {
            queue.removeHopeless(nowNanos).forEach(ticket -> decisions.add(refuse(ticket, queue)));
        }
        return decisions;
    }

    /** Returns how many queries are in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns how many queries wait. */
    public int waiting() {
        return services.values().stream().mapToInt(ServiceQueue::waiting).sum();
    }

    private List<Decision> admit(long nowNanos) {
        List<Decision> decisions = expire(nowNanos);
        while (inFlight < limit) {
            Optional<ServiceQueue> next = nextQueue();
            if (next.isEmpty()) {
                break;
            }
            Ticket ticket = next.get().take();
            inFlightOfPartner.merge(ticket.service().partner(), 1, Integer::sum);
            inFlight++;
            decisions.add(new Decision.Admit(ticket));
        }
        return decisions;
    }

    /** Returns the queue with waiting queries and the fewest in flight, if its service and partner have room. */
    private Optional<ServiceQueue> nextQueue() {
        Optional<ServiceQueue> best = Optional.empty();
        for (Map.Entry<ServiceName, ServiceQueue> candidate : services.entrySet()) {
            ServiceQueue queue = candidate.getValue();
            int ofPartner = inFlightOfPartner.getOrDefault(candidate.getKey().partner(), 0);
            boolean eligible = queue.mayTake() && ofPartner < mostPerPartner();
            if (eligible && (best.isEmpty() || queue.inFlight() < best.get().inFlight())) {
                best = Optional.of(queue);
            }
        }
        return best;
    }

    private int mostPerPartner() {
        int others = Math.max(0, inFlightOfPartner.size() - 1);
        return Math.max(1, limit - others * (limit / RESERVED_DIVISOR));
    }

    private static Decision refuse(Ticket ticket, ServiceQueue queue) {
        return new Decision.Refuse(ticket, Duration.ofNanos(Math.max(1, queue.expectedWaitNanos(ticket.priority()))));
    }
}
