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
 * Who begins when an entry host has more to do than it can, and who is refused.
 *
 * <p>The load: bursts of one class, a team at many times its usual, callers that repeat, and all callers back after a
 * silence, on hosts of a part of a core. Begun all at once, every request waits for the work of all, and those that
 * could have been in time are as late as the rest. What room there is shows in how far the host is behind with what has
 * arrived; the known cost of what was begun since tells it before that shows.
 *
 * <ul>
 *   <li>A host that is not behind begins everything at once.
 *   <li>One that is behind holds requests, and begins them as it catches up: one in any case each time it looks, more
 *       as long as it is less than {@link #LAG_THRESHOLD} behind. So room never stands free while a request waits.
 *   <li>Ranks go in their order, but a quarter of the room, in calls, goes to lower ranks as long as they wait, the
 *       longest waiting first. So no class gets less than a quarter of its share by demand.
 *   <li>Within a rank those go first that can still be in time, then teams take turns ({@link FairTeamQueue}).
 *   <li>What could not be answered before its caller's limit, by the work that goes before it, is refused at once.
 * </ul>
 *
 * <p>Invariants: each request is begun or refused once, unless it is withdrawn. Nothing is refused while nothing waits
 * and the host is not behind, unless its time is up. Not safe for use by several threads.
 *
 * @param <T> what stands for a request; by its identity or equality one is withdrawn
 */
public final class EntryAdmission<T> {
    /**
     * From when on a host counts as behind: a quarter of the shortest goals of interactive queries, 80 to 90 ms, is
     * lost to waiting then.
     */
    public static final Duration LAG_THRESHOLD = Duration.ofMillis(20);

    /** Every which call of the room goes to lower ranks that wait. */
    private static final int LOWER_RANKS_SHARE_DIVISOR = 4;
    /** How many may wait; beyond that the last in order is refused, whatever its limit. */
    private static final int MAX_QUEUED = 512;
    /** How fast the estimate of the time from one beginning to the next follows what is seen. */
    private static final double START_INTERVAL_SMOOTHING = 0.2;

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(50);
    /** Callers come back if they are told a time within a third of what they have left. */
    private static final int MAX_RETRY_AFTER_DIVISOR = 3;

    private final RandomGenerator random;
    private final List<Entry<T>> entries = new ArrayList<>();
    private final FairTeamQueue teamQueue = new FairTeamQueue();
    private final long callCostNanos;
    /** From one beginning to the next while requests wait. */
    private double startIntervalNanos = LAG_THRESHOLD.toNanos();

    private long lastDrainNanos;
    /** Calls that lower ranks are owed: a part of those begun before them. */
    private double lowerRankCredit;

    private long lastSequence;

    private record Entry<T>(QueuedRequest<T> queued, long sequence) {}

    /**
     * Creates a room of which nothing is taken.
     *
     * @param nowNanos the time
     * @param callCost what a call to a leaf takes of this host's time
     */
    public EntryAdmission(long nowNanos, Duration callCost, RandomGenerator random) {
        this.lastDrainNanos = nowNanos - LAG_THRESHOLD.toNanos();
        this.callCostNanos = callCost.toNanos();
        this.random = random;
    }

    /**
     * Takes a request.
     *
     * @param lagNanos how far this host is behind with what has arrived
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

    /** Begins what there is room for; to be called regularly while requests wait. */
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

    /** Forgets a request whose caller went away. */
    public void withdraw(T request) {
        entries.removeIf(entry -> entry.queued().request().equals(request));
    }

    /** Returns true if a request has neither begun nor been refused. */
    public boolean isQueued(T request) {
        return entries.stream().anyMatch(entry -> entry.queued().request().equals(request));
    }

    /** Returns how many requests wait. */
    public int queuedCount() {
        return entries.size();
    }

    /** Returns how long it takes from one beginning to the next, for a log line. */
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

    /** Keeps what lower ranks are owed: as long as one waits, a part of what goes before it. */
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

    /** Returns the request that begins next; one waits at least. */
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

    /** Refuses what would be answered after its caller's limit by the work before it. */
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

    /** Returns after how many others a request begins at the latest, by the part of the room that lower ranks have. */
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
