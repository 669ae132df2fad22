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
 * Decides which shards of a query are delegated to other hosts, and to which.
 *
 * <p>Shards are delegated to the hosts that hold the connections to their best leaves. In a fleet that is small enough
 * for every host to connect to every leaf, shards whose best leaves are in another region are delegated to hosts of
 * that region. This host calls the leaves of all other shards itself. Not safe for use by several threads.
 */
public final class StagePlanner {
    /** Smaller groups are called from here: one call to a leaf costs no more than one message to another host. */
    private static final int MIN_SHARDS_PER_STAGE = 2;
    /** A region is a candidate if it covers at least this fraction of the shards that the best region covers. */
    private static final double MIN_COVERAGE_OF_BEST = 0.8;

    private final Topology topology;
    private final RandomGenerator random;

    public StagePlanner(Topology topology, RandomGenerator random) {
        this.topology = topology;
        this.random = random;
    }

    /** Whether the holders of another region are called through one of them. */
    public enum Relays {
        /** One holder is called for all; its merged reply crosses the region boundary once. */
        USED,
        /** Each holder is called directly. */
        NOT_USED
    }

    /** The known network locations of leaves and hosts, and the state of the hosts. */
    public interface Topology {
        /** Returns the region of a host if it differs from the region of this host. */
        Optional<String> otherRegionOf(String host);

        /**
         * Returns the host that holds the connections to a leaf, if that is another host, is available, and may receive
         * the body of a request with the given home regions.
         */
        Optional<String> holderOf(Leaf leaf, HomeRegions homes);

        String regionOf(Leaf leaf);

        /** Returns true if a host recently reported that it is lagging. */
        boolean isLagging(String host);

        /** Returns the available host of a region with the fewest calls in flight from this host. */
        Optional<String> leastBusyIn(String region);

        /**
         * Returns how long a host may be silent before it is treated as failed.
         *
         * @param hedgeDelayNanos the delay after which the host hedges calls and reports its progress
         */
        long silenceTimeoutNanos(String host, long hedgeDelayNanos);
    }

    /**
     * Groups shards of a query into stages.
     *
     * @param pools the leaves of each shard, in the order of the shards
     * @param expectedNanos the expected duration of a call
     * @param hedgeDelayNanos the delay after which a host hedges calls and reports its progress
     * @param relays whether the holders of another region are called through one of them
     */
    public ImmutableList<StageAttempt> plan(
            ImmutableList<PermittedLeaves> pools,
            long expectedNanos,
            long hedgeDelayNanos,
            Relays relays,
            long nowNanos) {
        Map<String, List<Integer>> shardsByRegion = new HashMap<>();
        Map<String, List<Integer>> shardsByHolder = new LinkedHashMap<>();
        List<Integer> farShards = collectShards(pools, expectedNanos, nowNanos, shardsByRegion, shardsByHolder);
        ImmutableList.Builder<StageAttempt> stages = ImmutableList.builder();
        joinFarHolders(shardsByHolder, relays)
                .forEach((host, shards) -> stages.add(stage(host, ImmutableList.copyOf(shards), hedgeDelayNanos)));
        while (farShards.size() >= MIN_SHARDS_PER_STAGE) {
            Optional<String> region = bestRegion(shardsByRegion);
            Optional<String> host = region.flatMap(topology::leastBusyIn);
            if (region.isEmpty() || host.isEmpty()) {
                break;
            }
            List<Integer> assigned = shardsByRegion.remove(region.get());
            if (assigned == null || assigned.size() < MIN_SHARDS_PER_STAGE) {
                break;
            }
            farShards.removeAll(assigned);
            shardsByRegion.values().forEach(shards -> shards.removeAll(assigned));
            stages.add(stage(host.get(), ImmutableList.copyOf(assigned), hedgeDelayNanos));
        }
        return stages.build();
    }

    /** Groups the shards of all holders of a region under one holder, chosen at random to spread the load. */
    private Map<String, List<Integer>> joinFarHolders(Map<String, List<Integer>> shardsByHolder, Relays relays) {
        if (relays == Relays.NOT_USED) {
            return shardsByHolder;
        }
        Map<String, List<Integer>> shardsByHost = new LinkedHashMap<>();
        Map<String, List<String>> farHolders = new LinkedHashMap<>();
        shardsByHolder.forEach((holder, shards) -> {
            Optional<String> region = topology.otherRegionOf(holder);
            if (region.isPresent()) {
                farHolders
                        .computeIfAbsent(region.get(), unused -> new ArrayList<>())
                        .add(holder);
            } else {
                shardsByHost.put(holder, shards);
            }
        });
        for (List<String> holders : farHolders.values()) {
            List<Integer> joined = new ArrayList<>();
            holders.forEach(holder -> joined.addAll(shardsByHolder.getOrDefault(holder, List.of())));
            shardsByHost.put(chooseRelay(holders), joined);
        }
        return shardsByHost;
    }

    /** Chooses at random among the holders that are not lagging, or among all if all are lagging. */
    private String chooseRelay(List<String> holders) {
        List<String> notLagging =
                holders.stream().filter(holder -> !topology.isLagging(holder)).toList();
        List<String> candidates = notLagging.isEmpty() ? holders : notLagging;
        return candidates.get(random.nextInt(candidates.size()));
    }

    private StageAttempt stage(String host, ImmutableList<Integer> shards, long hedgeDelayNanos) {
        return new StageAttempt(host, shards, topology.silenceTimeoutNanos(host, hedgeDelayNanos));
    }

    /** Groups shards by holder, or else by the other regions of their leaves; returns the shards of the latter kind. */
    private List<Integer> collectShards(
            ImmutableList<PermittedLeaves> pools,
            long expectedNanos,
            long nowNanos,
            Map<String, List<Integer>> shardsByRegion,
            Map<String, List<Integer>> shardsByHolder) {
        List<Integer> farShards = new ArrayList<>();
        for (int shard = 0; shard < pools.size(); shard++) {
            PermittedLeaves pool = pools.get(shard);
            Optional<Leaf> best = pool.choose(leaf -> true, expectedNanos, random, nowNanos);
            Optional<String> holder = best.flatMap(leaf -> topology.holderOf(leaf, pool.homes()));
            if (holder.isPresent()) {
                shardsByHolder
                        .computeIfAbsent(holder.get(), unused -> new ArrayList<>())
                        .add(shard);
                continue;
            }
            if (best.isEmpty() || best.get().distance() != Distance.OTHER_REGION) {
                continue;
            }
            farShards.add(shard);
            recordRegions(pool, shard, nowNanos, shardsByRegion);
        }
        return farShards;
    }

    /** Records the other regions in which a shard has an available leaf. */
    private void recordRegions(
            PermittedLeaves pool, int shard, long nowNanos, Map<String, List<Integer>> shardsByRegion) {
        for (Leaf leaf : pool.all()) {
            if (leaf.acceptsWork() && leaf.distance() == Distance.OTHER_REGION && !leaf.isEjected(nowNanos)) {
                List<Integer> shards =
                        shardsByRegion.computeIfAbsent(topology.regionOf(leaf), unused -> new ArrayList<>());
                if (!shards.contains(shard)) {
                    shards.add(shard);
                }
            }
        }
    }

    /** Returns a region that covers nearly as many shards as the best one, chosen at random to spread the load. */
    private Optional<String> bestRegion(Map<String, List<Integer>> shardsByRegion) {
        int maxShards =
                shardsByRegion.values().stream().mapToInt(List::size).max().orElse(0);
        List<String> candidates = shardsByRegion.entrySet().stream()
                .filter(entry -> entry.getValue().size() >= MIN_COVERAGE_OF_BEST * maxShards)
                .map(Map.Entry::getKey)
                .filter(region -> topology.leastBusyIn(region).isPresent())
                .sorted()
                .toList();
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
