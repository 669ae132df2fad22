package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.version.routing.HomeRegions;

/**
 * Decides which shards of a query other hosts ask on behalf of this one.
 *
 * <p>Shards are left to the hosts that hold the connections to their best leafs or, in a fleet that is small enough for
 * every host to connect to every leaf, those whose best leafs are in another region to hosts there. Shards that are in
 * no stage are asked from here. Not safe for use by several threads.
 */
public final class StagePlanner {
    /** Fewer shards than this are asked from here: one call costs no more than one message to another host. */
    private static final int LEAST_SHARDS = 2;
    /** A region is as good as the best if it has this part of the best one's shards. */
    private static final double GOOD_COVER = 0.8;

    private final Topology ways;
    private final RandomGenerator random;

    /** Creates a planner. */
    public StagePlanner(Topology ways, RandomGenerator random) {
        this.ways = ways;
        this.random = random;
    }

    /** Whether the holders of another region are asked through one of them. */
    public enum Relays {
        /** One of them is asked for all; its merged reply crosses the border once. */
        USED,
        /** Each is asked by itself, as by a host that was asked itself. */
        NOT_USED
    }

    /** What is known of the ways to leafs and to other hosts. */
    public interface Topology {
        /** Returns the region of a host if it is another one than this host's. */
        Optional<String> otherRegionOf(String host);

        /**
         * Returns the host that holds the connections to a leaf, if that is another host, can be asked, and may see the
         * body of a request with the given homes.
         */
        Optional<String> holderOf(Leaf leaf, HomeRegions homes);

        /** Returns the region of a leaf. */
        String regionOf(Leaf leaf);

        /** Returns true if a host said of late that it is behind with its work. */
        boolean isLagging(String host);

        /** Returns the host of a region that can be asked and has the least under way for this one. */
        Optional<String> leastBusyIn(String region);

        /**
         * Returns how long a host may be silent before it counts as lost.
         *
         * @param hedgeDelayNanos after which it asks second leafs, and says so
         */
        long silenceTimeoutNanos(String host, long hedgeDelayNanos);
    }

    /**
     * Divides the shards of a query.
     *
     * @param pools the leafs of each shard, in the order of the shards
     * @param expectedNanos how long a call usually takes
     * @param hedgeDelayNanos after which a host asks second leafs, and says so
     * @param relays whether the holders of another region are asked through one of them
     */
    public ImmutableList<StageAttempt> plan(
            ImmutableList<PermittedLeaves> pools,
            long expectedNanos,
            long hedgeDelayNanos,
            Relays relays,
            long nowNanos) {
        Map<String, List<Integer>> shardsByRegion = new HashMap<>();
        Map<String, List<Integer>> shardsByHolder = new LinkedHashMap<>();
        List<Integer> far = farShards(pools, expectedNanos, nowNanos, shardsByRegion, shardsByHolder);
        ImmutableList.Builder<StageAttempt> stages = ImmutableList.builder();
        byWay(shardsByHolder, relays)
                .forEach((host, shards) -> stages.add(stage(host, ImmutableList.copyOf(shards), hedgeDelayNanos)));
        while (far.size() >= LEAST_SHARDS) {
            Optional<String> region = bestRegion(shardsByRegion);
            Optional<String> host = region.flatMap(ways::leastBusyIn);
            if (region.isEmpty() || host.isEmpty()) {
                break;
            }
            List<Integer> taken = shardsByRegion.remove(region.get());
            if (taken == null || taken.size() < LEAST_SHARDS) {
                break;
            }
            far.removeAll(taken);
            shardsByRegion.values().forEach(shards -> shards.removeAll(taken));
            stages.add(stage(host.get(), ImmutableList.copyOf(taken), hedgeDelayNanos));
        }
        return stages.build();
    }

    /** Joins the shards of the holders of each other region under one of them, drawn to spread the load. */
    private Map<String, List<Integer>> byWay(Map<String, List<Integer>> shardsByHolder, Relays relays) {
        if (relays == Relays.NOT_USED) {
            return shardsByHolder;
        }
        Map<String, List<Integer>> shardsByWay = new LinkedHashMap<>();
        Map<String, List<String>> farHolders = new LinkedHashMap<>();
        shardsByHolder.forEach((holder, shards) -> {
            Optional<String> region = ways.otherRegionOf(holder);
            if (region.isPresent()) {
                farHolders
                        .computeIfAbsent(region.get(), unused -> new ArrayList<>())
                        .add(holder);
            } else {
                shardsByWay.put(holder, shards);
            }
        });
        for (List<String> holders : farHolders.values()) {
            List<Integer> joined = new ArrayList<>();
            holders.forEach(holder -> joined.addAll(shardsByHolder.getOrDefault(holder, List.of())));
            shardsByWay.put(relayOf(holders), joined);
        }
        return shardsByWay;
    }

    /** Draws one of the holders of a region that are not behind, or of all if all are. */
    private String relayOf(List<String> holders) {
        List<String> withRoom =
                holders.stream().filter(holder -> !ways.isLagging(holder)).toList();
        List<String> drawn = withRoom.isEmpty() ? holders : withRoom;
        return drawn.get(random.nextInt(drawn.size()));
    }

    private StageAttempt stage(String host, ImmutableList<Integer> shards, long hedgeDelayNanos) {
        return new StageAttempt(host, shards, ways.silenceTimeoutNanos(host, hedgeDelayNanos));
    }

    private List<Integer> farShards(
            ImmutableList<PermittedLeaves> pools,
            long expectedNanos,
            long nowNanos,
            Map<String, List<Integer>> shardsByRegion,
            Map<String, List<Integer>> shardsByHolder) {
        List<Integer> far = new ArrayList<>();
        for (int shard = 0; shard < pools.size(); shard++) {
            PermittedLeaves pool = pools.get(shard);
            Optional<Leaf> best = pool.choose(leaf -> true, expectedNanos, random, nowNanos);
            Optional<String> holder = best.flatMap(leaf -> ways.holderOf(leaf, pool.homeRegions()));
            if (holder.isPresent()) {
                shardsByHolder
                        .computeIfAbsent(holder.get(), unused -> new ArrayList<>())
                        .add(shard);
                continue;
            }
            if (best.isEmpty() || best.get().distance() != Distance.OTHER_REGION) {
                continue;
            }
            far.add(shard);
            noteRegions(pool, shard, nowNanos, shardsByRegion);
        }
        return far;
    }

    /** Notes the regions in which a shard has a leaf that can be asked. */
    private void noteRegions(
            PermittedLeaves pool, int shard, long nowNanos, Map<String, List<Integer>> shardsByRegion) {
        for (Leaf leaf : pool.all()) {
            if (leaf.acceptsWork() && leaf.distance() == Distance.OTHER_REGION && !leaf.isEjected(nowNanos)) {
                List<Integer> shards = shardsByRegion.computeIfAbsent(ways.regionOf(leaf), unused -> new ArrayList<>());
                if (!shards.contains(shard)) {
                    shards.add(shard);
                }
            }
        }
    }

    /** Returns a region with about as many of the shards as any; which one is drawn, to spread the load. */
    private Optional<String> bestRegion(Map<String, List<Integer>> shardsByRegion) {
        int most = shardsByRegion.values().stream().mapToInt(List::size).max().orElse(0);
        List<String> good = shardsByRegion.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= GOOD_COVER * most)
                .map(Map.Entry::getKey)
                .filter(region -> ways.leastBusyIn(region).isPresent())
                .sorted()
                .toList();
        return good.isEmpty() ? Optional.empty() : Optional.of(good.get(random.nextInt(good.size())));
    }
}
