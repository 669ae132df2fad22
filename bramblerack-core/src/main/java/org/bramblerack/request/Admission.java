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
 * Admits, queues or refuses the queries of a host.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A query is admitted only while fewer queries are in flight than the host's limit and, of its service, fewer
 *       than its {@link AdaptiveLimit}.
 *   <li>A share of the host's limit is reserved for each other partner, so that one partner cannot use all of it.
 *   <li>Within a service urgent queries are admitted before normal ones, except that one admission in
 *       {@link ServiceQueue#NORMAL_EVERY} goes to a queued normal query.
 *   <li>A query that cannot finish before its deadline is refused without calling an upstream.
 * </ul>
 *
 * <p>Not thread-safe: the owner guards it with a lock that precedes the query's lock in the lock order. Each event
 * takes time linear in the number of services.
 */
public final class Admission {
    /** The capacity reserved for each other partner is the host's limit divided by this. */
    private static final int RESERVED_SHARE_DIVISOR = 8;

    private final int limit;
    private final Map<ServiceName, ServiceQueue> services = new TreeMap<>();
    private final Map<String, Integer> inFlightByPartner = new HashMap<>();
    private int inFlight;

    /**
     * Creates an empty admission.
     *
     * @param limit the maximum number of queries in flight, at least 1
     */
    public Admission(int limit) {
        checkArgument(limit > 0, "limit %s is not positive", limit);
        this.limit = limit;
    }

    /** A query to be admitted; the deadline is a reading of the monotonic clock. */
    public record Ticket(String id, ServiceName service, Priority priority, long deadlineNanos) {}

    /** The decision on a ticket. */
    public sealed interface Decision {
        /** Start the query. */
        record Admit(Ticket ticket) implements Decision {}

        /** Refuse the query, which was not started. */
        record Refuse(Ticket ticket, Duration retryAfter) implements Decision {}
    }

    /** Admits, queues or refuses a new query; queued queries may be decided along with it. */
    public List<Decision> offer(Ticket ticket, long nowNanos) {
        inFlightByPartner.putIfAbsent(ticket.service().partner(), 0);
        ServiceQueue queue = services.computeIfAbsent(ticket.service(), unused -> new ServiceQueue(limit));
        long waitNanos = queue.expectedWaitNanos(ticket.priority());
        if (!queue.canMeetDeadline(ticket, waitNanos, nowNanos) || queue.isFull()) {
            return ImmutableList.of(refuse(ticket, queue));
        }
        queue.add(ticket);
        return admit(nowNanos);
    }

    /**
     * Records that an admitted query finished, and admits queued ones in its place.
     *
     * @param tookNanos the time from its admission to its end
     */
    public List<Decision> onFinished(Ticket ticket, long tookNanos, long nowNanos) {
        ServiceQueue queue = services.get(ticket.service());
        checkArgument(queue != null && queue.inFlight() > 0, "no query of %s is in flight", ticket.service());
        boolean deadlineExceeded = nowNanos - ticket.deadlineNanos() >= 0;
        queue.onFinished(tookNanos, deadlineExceeded, nowNanos);
        inFlightByPartner.merge(ticket.service().partner(), -1, Integer::sum);
        inFlight--;
        return admit(nowNanos);
    }

    /** Refuses the queued queries that can no longer finish before their deadline. */
    public List<Decision> expire(long nowNanos) {
        List<Decision> decisions = new ArrayList<>();
        for (ServiceQueue queue : services.values()) {
            queue.removeUnmeetable(nowNanos).forEach(ticket -> decisions.add(refuse(ticket, queue)));
        }
        return decisions;
    }

    public int inFlight() {
        return inFlight;
    }

    /** Returns the number of queued queries of all services. */
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
            Ticket ticket = next.get().takeNext();
            inFlightByPartner.merge(ticket.service().partner(), 1, Integer::sum);
            inFlight++;
            decisions.add(new Decision.Admit(ticket));
        }
        return decisions;
    }

    /**
     * Returns the queue with the fewest queries in flight among those whose service and partner are below their limits.
     */
    private Optional<ServiceQueue> nextQueue() {
        Optional<ServiceQueue> best = Optional.empty();
        for (Map.Entry<ServiceName, ServiceQueue> candidate : services.entrySet()) {
            ServiceQueue queue = candidate.getValue();
            int partnerInFlight =
                    inFlightByPartner.getOrDefault(candidate.getKey().partner(), 0);
            boolean eligible = queue.canAdmit() && partnerInFlight < maxPerPartner();
            if (eligible && (best.isEmpty() || queue.inFlight() < best.get().inFlight())) {
                best = Optional.of(queue);
            }
        }
        return best;
    }

    private int maxPerPartner() {
        int otherPartners = Math.max(0, inFlightByPartner.size() - 1);
        return Math.max(1, limit - otherPartners * (limit / RESERVED_SHARE_DIVISOR));
    }

    private static Decision refuse(Ticket ticket, ServiceQueue queue) {
        return new Decision.Refuse(ticket, Duration.ofNanos(Math.max(1, queue.expectedWaitNanos(ticket.priority()))));
    }
}
