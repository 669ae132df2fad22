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
 *   <li>Within a rank those go first that can still be in time, then teams take turns ({@link TeamTurns}).
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
    private static final int LOWER_RANKS_DIVISOR = 4;
    /** How many may wait; beyond that the last in order is refused, whatever its limit. */
    private static final int MAX_WAITING = 512;
    /** How fast the estimate of the time from one beginning to the next follows what is seen. */
    private static final double SMOOTHING = 0.2;

    private static final Duration LEAST_RETRY = Duration.ofMillis(50);
    /** Callers come back if they are told a time within a third of what they have left. */
    private static final int OBEYED_DIVISOR = 3;

    private final RandomGenerator random;
    private final List<Waiting<T>> waiting = new ArrayList<>();
    private final TeamTurns turns = new TeamTurns();
    private final long callNanos;
    /** From one beginning to the next while requests wait. */
    private double turnNanos = LAG_THRESHOLD.toNanos();

    private long lookedNanos;
    /** Calls that lower ranks are owed: a part of those begun before them. */
    private double owedToLower;

    private long lastNumber;

    private record Waiting<T>(QueuedRequest<T> applicant, long number) {}

    /**
     * Creates a room of which nothing is taken.
     *
     * @param nowNanos the time
     * @param callCost what a call to a leaf takes of this host's time
     */
    public EntryAdmission(long nowNanos, Duration callCost, RandomGenerator random) {
        this.lookedNanos = nowNanos - LAG_THRESHOLD.toNanos();
        this.callNanos = callCost.toNanos();
        this.random = random;
    }

    /**
     * Takes a request.
     *
     * @param lagNanos how far this host is behind with what has arrived
     */
    public ImmutableList<AdmissionAction<T>> offer(QueuedRequest<T> applicant, long lagNanos, long nowNanos) {
        ImmutableList.Builder<AdmissionAction<T>> actions = ImmutableList.builder();
        boolean begunOfLate = nowNanos - lookedNanos < LAG_THRESHOLD.toNanos();
        if (waiting.isEmpty() && (lagNanos < LAG_THRESHOLD.toNanos() || !begunOfLate)) {
            turns.begin(applicant.team(), applicant.weight(), applicant.calls());
            lookedNanos = lagNanos < LAG_THRESHOLD.toNanos() ? lookedNanos : nowNanos;
            actions.add(new AdmissionAction.Start<>(applicant.request()));
            return actions.build();
        }
        waiting.add(new Waiting<>(applicant, ++lastNumber));
        refuseHopeless(nowNanos, actions);
        return actions.build();
    }

    /** Begins what there is room for; to be called regularly while requests wait. */
    public ImmutableList<AdmissionAction<T>> drain(long lagNanos, long nowNanos) {
        ImmutableList.Builder<AdmissionAction<T>> actions = ImmutableList.builder();
        long busyNanos = lagNanos;
        int begun = 0;
        while (!waiting.isEmpty() && (begun == 0 || busyNanos < LAG_THRESHOLD.toNanos())) {
            Waiting<T> next = next(nowNanos);
            begun++;
            begin(next, actions);
            busyNanos += next.applicant().calls() * callNanos;
        }
        if (!waiting.isEmpty()) {
            turnNanos += SMOOTHING * ((nowNanos - lookedNanos) / (double) begun - turnNanos);
        }
        lookedNanos = nowNanos;
        refuseHopeless(nowNanos, actions);
        return actions.build();
    }

    /** Forgets a request whose caller went away. */
    public void withdraw(T request) {
        waiting.removeIf(each -> each.applicant().request().equals(request));
    }

    /** Returns true if a request has neither begun nor been refused. */
    public boolean isQueued(T request) {
        return waiting.stream().anyMatch(each -> each.applicant().request().equals(request));
    }

    /** Returns how many requests wait. */
    public int queuedCount() {
        return waiting.size();
    }

    /** Returns how long it takes from one beginning to the next, for a log line. */
    public Duration startInterval() {
        return Duration.ofNanos((long) turnNanos);
    }

    private void begin(Waiting<T> next, ImmutableList.Builder<AdmissionAction<T>> actions) {
        waiting.remove(next);
        turns.begin(
                next.applicant().team(),
                next.applicant().weight(),
                next.applicant().calls());
        payLower(next.applicant());
        actions.add(new AdmissionAction.Start<>(next.applicant().request()));
    }

    /** Keeps what lower ranks are owed: as long as one waits, a part of what goes before it. */
    private void payLower(QueuedRequest<T> begun) {
        boolean lowerWaits = waiting.stream().anyMatch(each -> each.applicant().rank() > begun.rank());
        boolean higherWaits = waiting.stream().anyMatch(each -> each.applicant().rank() < begun.rank());
        if (lowerWaits) {
            owedToLower += begun.calls() / (double) (LOWER_RANKS_DIVISOR - 1);
        } else if (!higherWaits) {
            owedToLower = 0;
        }
        if (higherWaits) {
            owedToLower -= begun.calls();
        }
    }

    /** Returns the request that begins next; one waits at least. */
    private Waiting<T> next(long nowNanos) {
        List<Waiting<T>> ordered = inOrder(nowNanos);
        Waiting<T> first = ordered.get(0);
        return longestWaitingBelow(first.applicant().rank())
                .filter(lower -> owedToLower >= lower.applicant().calls())
                .orElse(first);
    }

    private Optional<Waiting<T>> longestWaitingBelow(int rank) {
        return waiting.stream()
                .filter(each -> each.applicant().rank() > rank)
                .min(Comparator.comparingLong(Waiting::number));
    }

    private List<Waiting<T>> inOrder(long nowNanos) {
        List<Waiting<T>> ordered = new ArrayList<>(waiting);
        Comparator<Waiting<T>> byRank =
                Comparator.comparingInt(each -> each.applicant().rank());
        Comparator<Waiting<T>> inTimeFirst = byRank.thenComparing(each -> isLate(each.applicant(), nowNanos));
        ordered.sort(inTimeFirst.thenComparingLong(Waiting::number));
        Map<Long, Double> turnOf = new HashMap<>();
        Map<String, Double> askedBefore = new HashMap<>();
        for (Waiting<T> each : ordered) {
            QueuedRequest<T> applicant = each.applicant();
            double room = applicant.calls() / applicant.weight();
            double before = askedBefore.merge(applicant.team(), room, Double::sum) - room;
            turnOf.put(each.number(), turns.next(applicant.team(), applicant.weight()) + before);
        }
        ordered.sort(inTimeFirst
                .thenComparingDouble(each -> turnOf.getOrDefault(each.number(), 0.0))
                .thenComparingLong(Waiting::number));
        return ordered;
    }

    private static boolean isLate(QueuedRequest<?> applicant, long nowNanos) {
        return nowNanos + applicant.expectedNanos() - applicant.goalNanos() > 0;
    }

    /** Refuses what would be answered after its caller's limit by the work before it. */
    private void refuseHopeless(long nowNanos, ImmutableList.Builder<AdmissionAction<T>> actions) {
        int ahead = 0;
        for (Waiting<T> each : inOrder(nowNanos)) {
            QueuedRequest<T> applicant = each.applicant();
            double beginsNanos = (Math.min(ahead, turnsOfLower(each)) + 1) * turnNanos;
            long leftNanos = applicant.deadlineNanos() - nowNanos;
            if (beginsNanos + applicant.expectedNanos() > leftNanos || ahead >= MAX_WAITING) {
                waiting.remove(each);
                actions.add(new AdmissionAction.Refuse<>(applicant.request(), retryAfter(beginsNanos, leftNanos)));
            } else {
                ahead++;
            }
        }
    }

    /** Returns after how many others a request begins at the latest, by the part of the room that lower ranks have. */
    private int turnsOfLower(Waiting<T> request) {
        int top =
                waiting.stream().mapToInt(each -> each.applicant().rank()).min().orElse(0);
        if (request.applicant().rank() == top) {
            return Integer.MAX_VALUE;
        }
        int older = (int) waiting.stream()
                .filter(each -> each.applicant().rank() > top && each.number() < request.number())
                .count();
        return LOWER_RANKS_DIVISOR * (older + 1);
    }

    private Duration retryAfter(double beginsNanos, long leftNanos) {
        Duration room = Duration.ofNanos(Math.max(LEAST_RETRY.toNanos(), (long) beginsNanos));
        Duration obeyed = Duration.ofNanos(Math.max(LEAST_RETRY.toNanos(), leftNanos / OBEYED_DIVISOR));
        return RetryAfterJitter.spread(room, obeyed, random);
    }
}
