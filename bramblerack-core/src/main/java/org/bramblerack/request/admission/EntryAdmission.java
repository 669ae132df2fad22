package org.bramblerack.request.admission;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Admission control of an entry host under overload, with the event-loop lag as the measure of load.
 *
 * <ul>
 *   <li>While the queue is empty, a request starts at once if the host does not lag or has started nothing for
 *       {@link #LAG_THRESHOLD}.
 *   <li>Other requests are queued. Each {@link #drain} starts at least one, and more while the lag, including the
 *       expected cost of the requests just started, is below {@link #LAG_THRESHOLD}.
 *   <li>Ranks are served in order, but a quarter of the capacity, in calls, goes to queued requests of lower ranks,
 *       oldest first, so that they do not starve.
 *   <li>Within a rank, requests that can still meet their goal go first; after that teams share the capacity by weight
 *       ({@link FairTeamQueue}).
 *   <li>A request that cannot be answered before its deadline because of the requests ahead of it is refused at once.
 * </ul>
 *
 * <p>Invariants: each request is started or refused exactly once, unless it is withdrawn. No request is refused on
 * arrival while the queue is empty and the host does not lag. Not thread-safe.
 *
 * @param <T> the type of a request; requests are identified by equality
 */
public final class EntryAdmission<T> {
    /** The lag from which a host queues requests, about a quarter of the shortest goals of interactive queries. */
    public static final Duration LAG_THRESHOLD = Duration.ofMillis(20);

    /** One call in this many goes to queued requests of lower ranks. */
    private static final int LOWER_RANKS_SHARE_DIVISOR = 4;
    /** The maximum queue length; beyond it the last requests in service order are refused. */
    private static final int MAX_QUEUED = 512;

    private static final double START_INTERVAL_SMOOTHING = 0.2;
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    /** Callers are expected to retry after a delay of up to their remaining time divided by this. */
    private static final int MAX_RETRY_AFTER_DIVISOR = 3;

    private final RandomGenerator random;
    private final List<Entry<T>> entries = new ArrayList<>();
    private final FairTeamQueue teamQueue = new FairTeamQueue();
    private final long callCostNanos;
    /** The moving average of the time between starts of queued requests. */
    private double startIntervalNanos = LAG_THRESHOLD.toNanos();

    /** When the queue was last drained, or a request last started while the host lagged. */
    private long lastDrainNanos;
    /** The number of calls reserved for queued requests of lower ranks and not yet used. */
    private double lowerRankCredit;

    private long lastSequence;

    private record Entry<T>(QueuedRequest<T> queued, long sequence) {}

    /**
     * Creates an admission with an empty queue.
     *
     * @param nowNanos the current time
     * @param callCost the processing time that a call to a leaf costs this host
     */
    public EntryAdmission(long nowNanos, Duration callCost, RandomGenerator random) {
        this.lastDrainNanos = nowNanos - LAG_THRESHOLD.toNanos();
        this.callCostNanos = callCost.toNanos();
        this.random = random;
    }

    /**
     * Starts, queues or refuses a new request; may refuse queued ones along with it.
     *
     * @param lagNanos the current event-loop lag of this host
     */
    public ImmutableList<AdmissionAction<T>> offer(QueuedRequest<T> request, long lagNanos, long nowNanos) {
        ImmutableList.Builder<AdmissionAction<T>> actions = ImmutableList.builder();
        boolean drainedRecently = nowNanos - lastDrainNanos < LAG_THRESHOLD.toNanos();
        if (entries.isEmpty() && (lagNanos < LAG_THRESHOLD.toNanos() || !drainedRecently)) {
            teamQueue.recordStart(request.team(), request.weight(), request.calls());
            lastDrainNanos = lagNanos < LAG_THRESHOLD.toNanos() ? lastDrainNanos : nowNanos;
            actions.add(new AdmissionAction.Start<>(request.request()));
            return actions.build();
        }
        entries.add(new Entry<>(request, ++lastSequence));
        refuseUnmeetable(nowNanos, actions);
        return actions.build();
    }

    /** Starts queued requests for which there is capacity; must be called regularly while any are queued. */
    public ImmutableList<AdmissionAction<T>> drain(long lagNanos, long nowNanos) {
        ImmutableList.Builder<AdmissionAction<T>> actions = ImmutableList.builder();
        long expectedLagNanos = lagNanos;
        int started = 0;
        while (!entries.isEmpty() && (started == 0 || expectedLagNanos < LAG_THRESHOLD.toNanos())) {
            Entry<T> next = selectNext(nowNanos);
            started++;
            start(next, actions);
            expectedLagNanos += next.queued().calls() * callCostNanos;
        }
        if (!entries.isEmpty()) {
            startIntervalNanos +=
                    START_INTERVAL_SMOOTHING * ((nowNanos - lastDrainNanos) / (double) started - startIntervalNanos);
        }
        lastDrainNanos = nowNanos;
        refuseUnmeetable(nowNanos, actions);
        return actions.build();
    }

    /** Removes a queued request whose caller disconnected. */
    public void withdraw(T request) {
        entries.removeIf(entry -> entry.queued().request().equals(request));
    }

    public boolean isQueued(T request) {
        return entries.stream().anyMatch(entry -> entry.queued().request().equals(request));
    }

    public int queuedCount() {
        return entries.size();
    }

    /** Returns the average time between starts of queued requests. */
    public Duration startInterval() {
        return Duration.ofNanos((long) startIntervalNanos);
    }

    private void start(Entry<T> entry, ImmutableList.Builder<AdmissionAction<T>> actions) {
        entries.remove(entry);
        teamQueue.recordStart(
                entry.queued().team(), entry.queued().weight(), entry.queued().calls());
        updateLowerRankCredit(entry.queued());
        actions.add(new AdmissionAction.Start<>(entry.queued().request()));
    }

    /** Grants lower ranks credit for calls started ahead of them, and charges them for their own. */
    private void updateLowerRankCredit(QueuedRequest<T> started) {
        boolean lowerQueued = entries.stream().anyMatch(entry -> entry.queued().rank() > started.rank());
        boolean higherQueued = entries.stream().anyMatch(entry -> entry.queued().rank() < started.rank());
        if (lowerQueued) {
            lowerRankCredit += started.calls() / (double) (LOWER_RANKS_SHARE_DIVISOR - 1);
        } else if (!higherQueued) {
            lowerRankCredit = 0;
        }
        if (higherQueued) {
            lowerRankCredit -= started.calls();
        }
    }

    /** Returns the request to start next; the queue must not be empty. */
    private Entry<T> selectNext(long nowNanos) {
        List<Entry<T>> ordered = inServiceOrder(nowNanos);
        Entry<T> first = ordered.get(0);
        return oldestBelowRank(first.queued().rank())
                .filter(lower -> lowerRankCredit >= lower.queued().calls())
                .orElse(first);
    }

    private Optional<Entry<T>> oldestBelowRank(int rank) {
        return entries.stream()
                .filter(entry -> entry.queued().rank() > rank)
                .min(Comparator.comparingLong(Entry::sequence));
    }

    private List<Entry<T>> inServiceOrder(long nowNanos) {
        List<Entry<T>> ordered = new ArrayList<>(entries);
        Comparator<Entry<T>> byRank =
                Comparator.comparingInt(entry -> entry.queued().rank());
        Comparator<Entry<T>> inTimeFirst = byRank.thenComparing(entry -> missesGoal(entry.queued(), nowNanos));
        ordered.sort(inTimeFirst.thenComparingLong(Entry::sequence));
        Map<Long, Double> startTagBySequence = new HashMap<>();
        Map<String, Double> costByTeam = new HashMap<>();
        for (Entry<T> entry : ordered) {
            QueuedRequest<T> request = entry.queued();
            double cost = request.calls() / request.weight();
            double costAhead = costByTeam.merge(request.team(), cost, Double::sum) - cost;
            startTagBySequence.put(
                    entry.sequence(), teamQueue.nextStartTag(request.team(), request.weight()) + costAhead);
        }
        ordered.sort(inTimeFirst
                .thenComparingDouble(entry -> startTagBySequence.getOrDefault(entry.sequence(), 0.0))
                .thenComparingLong(Entry::sequence));
        return ordered;
    }

    private static boolean missesGoal(QueuedRequest<?> request, long nowNanos) {
        return nowNanos + request.expectedNanos() - request.goalNanos() > 0;
    }

    /** Refuses queued requests that would miss their deadline because of the requests ahead of them. */
    private void refuseUnmeetable(long nowNanos, ImmutableList.Builder<AdmissionAction<T>> actions) {
        int ahead = 0;
        for (Entry<T> entry : inServiceOrder(nowNanos)) {
            QueuedRequest<T> request = entry.queued();
            double waitNanos = (Math.min(ahead, maxStartsAhead(entry)) + 1) * startIntervalNanos;
            long remainingNanos = request.deadlineNanos() - nowNanos;
            if (waitNanos + request.expectedNanos() > remainingNanos || ahead >= MAX_QUEUED) {
                entries.remove(entry);
                actions.add(new AdmissionAction.Refuse<>(request.request(), retryAfter(waitNanos, remainingNanos)));
            } else {
                ahead++;
            }
        }
    }

    /** Returns how many requests can start before this one at most, given the share reserved for lower ranks. */
    private int maxStartsAhead(Entry<T> entry) {
        int topRank =
                entries.stream().mapToInt(other -> other.queued().rank()).min().orElse(0);
        if (entry.queued().rank() == topRank) {
            return Integer.MAX_VALUE;
        }
        int older = (int) entries.stream()
                .filter(other -> other.queued().rank() > topRank && other.sequence() < entry.sequence())
                .count();
        return LOWER_RANKS_SHARE_DIVISOR * (older + 1);
    }

    private Duration retryAfter(double waitNanos, long remainingNanos) {
        Duration earliest = Duration.ofNanos(Math.max(MIN_RETRY_AFTER.toNanos(), (long) waitNanos));
        Duration latest =
                Duration.ofNanos(Math.max(MIN_RETRY_AFTER.toNanos(), remainingNanos / MAX_RETRY_AFTER_DIVISOR));
        return RetryAfterJitter.spread(earliest, latest, random);
    }
}
