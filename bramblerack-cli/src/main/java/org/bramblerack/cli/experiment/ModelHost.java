package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.connection.ConnectionShare;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.EventLoopLag;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafLocation;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.request.routed.HedgeTiming;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StagePlanner;
import org.bramblerack.request.routed.StageTiming;
import org.bramblerack.version.routing.HomeRegions;

/**
 * A modelled entry host. It selects leaves and plans stages with the classes of the real entry host; its own processing
 * takes no simulated time. Not safe for use by several threads.
 */
final class ModelHost implements StagePlanner.Topology {
    /** Budgets start long before the run, so that the rules for a first window do not apply. */
    private static final long BUDGET_START_NANOS = -Duration.ofHours(1).toNanos();

    private final String name;
    private final Fleet.Zone zone;
    private final Fleet fleet;
    private final SimulatedTime time;
    private final RandomGenerator random;
    private final ImmutableList<PermittedLeaves> permitted;
    private final Map<Leaf, ModelConnections> connections = new HashMap<>();
    private final Map<Leaf, ModelLeaf> modelLeaves = new HashMap<>();
    private final Map<String, LatencyTracker> latencies = new HashMap<>();
    private final Map<String, ModelHost> peers = new LinkedHashMap<>();
    private final Map<String, Integer> activeStages = new HashMap<>();
    private final RoutingContext context;
    private final StagePlanner planner;

    /**
     * Creates a host that has long been running.
     *
     * @param position the index of the host in the fleet, from 0
     */
    ModelHost(
            String name,
            int position,
            Fleet.Zone zone,
            Fleet fleet,
            List<List<ModelLeaf>> shards,
            RoutingPolicy policy,
            SimulatedTime time,
            RandomGenerator random) {
        this.name = name;
        this.zone = zone;
        this.fleet = fleet;
        this.time = time;
        this.random = random;
        this.context = new RoutingContext(policy, EventLoopLag.none());
        this.planner = new StagePlanner(this, random);
        ImmutableList.Builder<PermittedLeaves> built = ImmutableList.builder();
        for (int shard = 0; shard < shards.size(); shard++) {
            built.add(newPool(shard, position, shards.get(shard)).permitted(HomeRegions.ANY));
        }
        this.permitted = built.build();
    }

    private LeafPool newPool(int shard, int position, List<ModelLeaf> replicas) {
        int hostCount = fleet.hostCount();
        WindowedBudget budget = fleet.budget().newShare(BUDGET_START_NANOS);
        fleet.budget().assignShare(budget, FleetBudget.Rank.of(position, hostCount, "shard-" + shard));
        LeafPool pool = new LeafPool("shard-" + shard, budget, context);
        int maxConnections = Math.max(1, ConnectionShare.of(fleet.connections(), hostCount));
        for (ModelLeaf replica : replicas) {
            Fleet.Zone other = fleet.zone(replica.zone());
            Leaf leaf = new Leaf(
                    replica.id(),
                    pool.service(),
                    "127.0.0.1:1",
                    new LeafLocation(
                            other.name(),
                            other.region(),
                            Distance.between(zone.name(), zone.region(), other.name(), other.region())),
                    fleet.slots(),
                    Duration.ZERO,
                    context,
                    time.nowNanos());
            pool.add(leaf);
            modelLeaves.put(leaf, replica);
            long networkDelayNanos = fleet.networkDelayNanos(zone.name(), replica.zone());
            connections.put(leaf, new ModelConnections(replica, networkDelayNanos, maxConnections, time));
        }
        return pool;
    }

    /** Registers each host with all others. */
    static void registerPeers(List<ModelHost> all) {
        for (ModelHost host : all) {
            all.stream().filter(other -> other != host).forEach(other -> host.peers.put(other.name, other));
        }
    }

    String name() {
        return name;
    }

    Fleet.Zone zone() {
        return zone;
    }

    ImmutableList<PermittedLeaves> permittedLeaves() {
        return permitted;
    }

    RoutingContext context() {
        return context;
    }

    RandomGenerator random() {
        return random;
    }

    ModelConnections connectionsTo(Leaf leaf) {
        ModelConnections known = connections.get(leaf);
        if (known == null) {
            throw new IllegalStateException("no connections to " + leaf.id());
        }
        return known;
    }

    long connectionsMade() {
        return connections.values().stream()
                .mapToLong(ModelConnections::connectionsMade)
                .sum();
    }

    LatencyTracker latency(Load load) {
        return latencies.computeIfAbsent(load.name(), unused -> HedgeTiming.newLatencyTracker(load.goal()));
    }

    ImmutableList<StageAttempt> plan(long expectedNanos, long hedgeDelayNanos) {
        return context.uses(RoutingFeature.STAGES)
                ? planner.plan(permitted, expectedNanos, hedgeDelayNanos, StagePlanner.Relays.USED, time.nowNanos())
                : ImmutableList.of();
    }

    ModelHost host(String other) {
        ModelHost known = peers.get(other);
        if (known == null) {
            throw new IllegalStateException("no host named " + other);
        }
        return known;
    }

    long networkDelayNanosTo(ModelHost other) {
        return fleet.networkDelayNanos(zone.name(), other.zone.name());
    }

    void recordStageStart(String host) {
        activeStages.merge(host, 1, Integer::sum);
    }

    void recordStageEnd(String host) {
        activeStages.merge(host, -1, Integer::sum);
    }

    @Override
    public Optional<String> holderOf(Leaf leaf, HomeRegions homes) {
        return Optional.empty();
    }

    @Override
    public Optional<String> otherRegionOf(String host) {
        return Optional.of(host(host).zone.region()).filter(region -> !region.equals(zone.region()));
    }

    @Override
    public String regionOf(Leaf leaf) {
        ModelLeaf known = modelLeaves.get(leaf);
        return known == null ? "" : fleet.zone(known.zone()).region();
    }

    @Override
    public boolean isLagging(String host) {
        return false;
    }

    @Override
    public Optional<String> leastBusyIn(String region) {
        List<ModelHost> candidates = new ArrayList<>();
        peers.values().stream()
                .filter(host -> host.zone.region().equals(region))
                .forEach(candidates::add);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int start = random.nextInt(candidates.size());
        ModelHost least = null;
        for (int offset = 0; offset < candidates.size(); offset++) {
            ModelHost candidate = candidates.get((start + offset) % candidates.size());
            if (least == null || activeStagesOf(candidate) < activeStagesOf(least)) {
                least = candidate;
            }
        }
        return Optional.ofNullable(least).map(ModelHost::name);
    }

    private int activeStagesOf(ModelHost host) {
        return activeStages.getOrDefault(host.name, 0);
    }

    @Override
    public long silenceTimeoutNanos(String host, long hedgeDelayNanos) {
        return StageTiming.silenceTimeoutNanos(hedgeDelayNanos, 2 * networkDelayNanosTo(host(host)));
    }
}
