package org.bramblerack.cli.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks what must hold in every run.
 *
 * <p>At most the allowed number of leafs of a shard may have a request at work, each request ends once, and the fleet
 * keeps to its budget of extra attempts in every window. Not safe for use by several threads.
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

    /** Notes that a call reached a leaf. */
    void recordArrival(Arrival arrival, int shard, long nowNanos) {
        String key = arrival.number() + "/shard-" + shard;
        boolean first = alreadyCalled.putIfAbsent(key, true) == null;
        (first ? firstNanosByShard : extraNanosByShard)
                .computeIfAbsent(shard, unused -> new ArrayList<>())
                .add(nowNanos);
        int count = possibleRuns.merge(key, 1, Integer::sum);
        if (count > arrival.load().maxAttempts()) {
            addViolation("request " + key + " may run on " + count + " leafs");
        }
    }

    /** Notes that a leaf did not run a call. */
    void recordNotRun(Arrival arrival, String service) {
        possibleRuns.merge(arrival.number() + "/" + service, -1, Integer::sum);
    }

    /** Notes the end of a request. */
    void recordEnd(Arrival arrival) {
        if (ends.merge(arrival.number(), 1, Integer::sum) > 1) {
            addViolation("request " + arrival.number() + " ended twice");
        }
    }

    /** Checks the budget of every shard in every window, and connections. */
    List<String> finish(List<ModelLeaf> leaves) {
        long windowNanos = fleet.budget().window().toNanos();
        extraNanosByShard.forEach((shard, times) -> checkBudget(shard, times, windowNanos));
        for (ModelLeaf leaf : leaves) {
            if (leaf.maxConnections() > fleet.connections()) {
                addViolation("leaf " + leaf.id() + " had " + leaf.maxConnections() + " connections");
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

    private void addViolation(String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(what);
        }
    }
}
