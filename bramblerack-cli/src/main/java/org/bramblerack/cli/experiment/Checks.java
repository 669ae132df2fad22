package org.bramblerack.cli.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records the events of a run and checks its invariants.
 *
 * <p>A request may run on at most the allowed number of leaves of a shard, each request ends once, the fleet stays
 * within its budget of extra attempts in every window, and no leaf has more connections than it accepts. Not safe for
 * use by several threads.
 */
final class Checks {
    private static final int MAX_VIOLATIONS = 20;

    private final Fleet fleet;
    private final Map<String, Integer> possibleRuns = new HashMap<>();
    private final Map<String, Boolean> alreadyCalled = new HashMap<>();
    private final Map<Integer, List<Long>> extraNanosByShard = new HashMap<>();
    private final Map<Integer, List<Long>> firstNanosByShard = new HashMap<>();
    private final Map<Long, Integer> ends = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    Checks(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Records that a call reached a leaf. */
    void recordArrival(Arrival arrival, int shard, long nowNanos) {
        String key = arrival.number() + "/shard-" + shard;
        boolean first = alreadyCalled.putIfAbsent(key, true) == null;
        (first ? firstNanosByShard : extraNanosByShard)
                .computeIfAbsent(shard, unused -> new ArrayList<>())
                .add(nowNanos);
        int count = possibleRuns.merge(key, 1, Integer::sum);
        if (count > arrival.load().maxAttempts()) {
            addViolation("request " + key + " may run on " + count + " leaves");
        }
    }

    /** Records that a call did not run, so that it does not count towards the limit of the request. */
    void recordNotRun(Arrival arrival, String service) {
        possibleRuns.merge(arrival.number() + "/" + service, -1, Integer::sum);
    }

    void recordEnd(Arrival arrival) {
        if (ends.merge(arrival.number(), 1, Integer::sum) > 1) {
            addViolation("request " + arrival.number() + " ended twice");
        }
    }

    /** Checks the budget of every shard and the connections of every leaf, and returns all violations of the run. */
    List<String> finish(List<ModelLeaf> leaves) {
        long windowNanos = fleet.budget().window().toNanos();
        extraNanosByShard.forEach((shard, times) -> checkBudget(shard, times, windowNanos));
        for (ModelLeaf leaf : leaves) {
            if (leaf.peakConnections() > fleet.connections()) {
                addViolation("leaf " + leaf.id() + " had " + leaf.peakConnections() + " connections");
            }
        }
        return violations;
    }

    private void checkBudget(int shard, List<Long> extraNanos, long windowNanos) {
        List<Long> firstNanos = firstNanosByShard.getOrDefault(shard, List.of());
        int from = 0;
        for (int to = 0; to < extraNanos.size(); to++) {
            while (extraNanos.get(to) - extraNanos.get(from) > windowNanos) {
                from++;
            }
            long end = extraNanos.get(to);
            long requests = Math.max(
                    countBetween(firstNanos, end - windowNanos, end),
                    countBetween(firstNanos, end - 2 * windowNanos, end - windowNanos));
            double allowed = requests * fleet.budget().extraPercent() / 100.0
                    + fleet.budget().slack();
            if (to - from + 1 > allowed) {
                addViolation(
                        "shard " + shard + " got " + (to - from + 1) + " extra attempts, " + allowed + " are allowed");
                return;
            }
        }
    }

    private static long countBetween(List<Long> times, long from, long to) {
        return times.stream().filter(at -> at > from && at <= to).count();
    }

    private void addViolation(String text) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(text);
        }
    }
}
