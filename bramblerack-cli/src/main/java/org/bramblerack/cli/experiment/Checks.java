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
    private static final int MOST_KEPT = 20;

    private final Fleet fleet;
    private final Map<String, Integer> mayRun = new HashMap<>();
    private final Map<String, Boolean> seen = new HashMap<>();
    private final Map<Integer, List<Long>> extras = new HashMap<>();
    private final Map<Integer, List<Long>> firsts = new HashMap<>();
    private final Map<Long, Integer> ends = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    Checks(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Notes that a call reached a leaf. */
    void arrived(Arrival arrival, int shard, long nowNanos) {
        String key = arrival.number() + "/shard-" + shard;
        boolean first = seen.putIfAbsent(key, true) == null;
        (first ? firsts : extras)
                .computeIfAbsent(shard, unused -> new ArrayList<>())
                .add(nowNanos);
        int count = mayRun.merge(key, 1, Integer::sum);
        if (count > arrival.load().attempts()) {
            violated("request " + key + " may run on " + count + " leafs");
        }
    }

    /** Notes that a leaf did not run a call. */
    void notRun(Arrival arrival, String service) {
        mayRun.merge(arrival.number() + "/" + service, -1, Integer::sum);
    }

    /** Notes the end of a request. */
    void ended(Arrival arrival) {
        if (ends.merge(arrival.number(), 1, Integer::sum) > 1) {
            violated("request " + arrival.number() + " ended twice");
        }
    }

    /** Checks the budget of every shard in every window, and connections. */
    List<String> finish(List<ModelLeaf> leafs) {
        long windowNanos = fleet.budget().window().toNanos();
        extras.forEach((shard, times) -> checkBudget(shard, times, windowNanos));
        for (ModelLeaf leaf : leafs) {
            if (leaf.mostConnections() > fleet.connections()) {
                violated("leaf " + leaf.id() + " had " + leaf.mostConnections() + " connections");
            }
        }
        return violations;
    }

    private void checkBudget(int shard, List<Long> extraNanos, long windowNanos) {
        List<Long> firstNanos = firsts.getOrDefault(shard, List.of());
        int from = 0;
        for (int to = 0; to < extraNanos.size(); to++) {
            while (extraNanos.get(to) - extraNanos.get(from) > windowNanos) {
                from++;
            }
            long end = extraNanos.get(to);
            long requests = Math.max(
                    within(firstNanos, end - windowNanos, end),
                    within(firstNanos, end - 2 * windowNanos, end - windowNanos));
            double most = requests * fleet.budget().extraPercent() / 100.0
                    + fleet.budget().slack();
            if (to - from + 1 > most) {
                violated("shard " + shard + " got " + (to - from + 1) + " extra attempts, " + most + " are allowed");
                return;
            }
        }
    }

    private static long within(List<Long> times, long from, long to) {
        return times.stream().filter(at -> at > from && at <= to).count();
    }

    private void violated(String what) {
        if (violations.size() < MOST_KEPT) {
            violations.add(what);
        }
    }
}
