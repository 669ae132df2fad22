package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.RetryBudget;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.TableDelta;

/**
 * What this host knows of the fleet: the configuration in force, the leafs, the other hosts.
 *
 * <p>Invariants: the revision only grows, and with it the configuration's version; a leaf that is leaving takes no work
 * from the moment at which the change arrives. Owned by the event loop.
 */
public final class FleetView {
    /** The part of a leaf's connections that the hosts share out; the rest is for those of hosts that have left. */
    private static final double CONNECTIONS_SHARED_OUT = 0.85;
    /** The share of the goal that a call is taken to need before any was seen. */
    private static final int GOAL_PARTS = 4;
    /** The quantile of a route's calls after which one is late. */
    private static final double LATE_QUANTILE_PERCENT = 93;

    /** A host that restarted may have spent its share just before. */
    private static final int FIRST_BUDGET_PERCENT = 30;

    private static final Duration WARM_WITHIN = Duration.ofMillis(1_500);
    private static final Duration EXPECTED_WITHOUT_GOAL = Duration.ofMillis(100);

    private final Place place;
    private final FleetBudget budget;
    private final CallHeaders names;
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Map<String, LeafPool> pools = new HashMap<>();
    private final Map<Leaf, LeafConnections> connections = new HashMap<>();
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private final Map<String, LeafRecord> leafRecords = new HashMap<>();
    private final Map<String, LatencyTracker> latencies = new HashMap<>();
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private long revision;

    /** Creates a view that knows nothing. */
    public FleetView(
            Place place,
            FleetBudget budget,
            CallHeaders names,
            EventLoopGroup group,
            MonotonicClock clock,
            RandomGenerator random) {
        this.place = place;
        this.budget = budget;
        this.names = names;
        this.group = group;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the revision of the tables that was applied last. */
    public long revision() {
        return revision;
    }

    /** Returns the configuration in force on this host. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    /** Returns where this host is. */
    public Place place() {
        return place;
    }

    /** Returns true once requests can be served: a configuration and at least one leaf are known. */
    public boolean isComplete() {
        return configuration.version() > 0 && !leafRecords.isEmpty();
    }

    /** Returns the other hosts and this one that take requests of callers. */
    public ImmutableList<HostRecord> entryHosts() {
        return hosts.values().stream()
                .filter(host -> host.getEntry() && host.getPhase() == HostRecord.Phase.READY)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the peer addresses of the hosts that serve control, the nearest first. */
    public ImmutableList<String> controlAddresses() {
        return hosts.values().stream()
                .filter(host -> !host.getControlAddress().isEmpty() && host.getPhase() == HostRecord.Phase.READY)
                .sorted(Comparator.comparing(host -> place.distanceTo(host.getZone())))
                .map(HostRecord::getPeerAddress)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the leafs of a service; a service without any has an empty pool. */
    public LeafPool pool(String service) {
        return pools.computeIfAbsent(service, this::newPool);
    }

    /** Returns the record of a leaf. */
    public Optional<LeafRecord> leafRecord(String id) {
        return Optional.ofNullable(leafRecords.get(id));
    }

    /** Returns the connections of this host to a leaf. */
    public LeafConnections connectionsTo(Leaf leaf) {
        return connections.computeIfAbsent(
                leaf, unused -> new LeafConnections(leaf, group, names, clock, () -> connectionShare(leaf.service())));
    }

    /** Returns what is known of how long the calls of a route take. */
    public LatencyTracker latency(Route route) {
        return latencies.computeIfAbsent(route.name(), unused -> {
            Duration goal = route.goal().isZero() ? EXPECTED_WITHOUT_GOAL : route.goal();
            return new LatencyTracker(LATE_QUANTILE_PERCENT, goal.dividedBy(GOAL_PARTS));
        });
    }

    /**
     * Applies what changed.
     *
     * @param newer the configuration that came with the change, if one did
     */
    public void apply(TableDelta delta, Optional<RoutingConfiguration> newer) {
        revision = delta.getRevision();
        if (newer.isPresent() && newer.get().version() > configuration.version()) {
            configuration = newer.get();
        }
        applyHosts(delta);
        applyLeaves(delta);
    }

    private void applyHosts(TableDelta delta) {
        int before = entryHosts().size();
        if (delta.getWhole()) {
            hosts.clear();
        }
        for (HostRecord host : delta.getHostsList()) {
            if (host.getPhase() == HostRecord.Phase.GONE) {
                hosts.remove(host.getName());
            } else {
                hosts.put(host.getName(), host);
            }
        }
        int after = entryHosts().size();
        if (before != after) {
            pools.values().forEach(pool -> pool.budget().setReserve(budget.slackOf(after)));
        }
    }

    private void applyLeaves(TableDelta delta) {
        if (delta.getWhole()) {
            Set<String> present = new HashSet<>();
            delta.getLeavesList().forEach(leaf -> present.add(leaf.getId()));
            for (LeafRecord known : List.copyOf(leafRecords.values())) {
                if (!present.contains(known.getId())) {
                    remove(known);
                }
            }
        }
        for (LeafRecord record : delta.getLeavesList()) {
            if (record.getPhase() == LeafRecord.Phase.GONE) {
                remove(record);
            } else {
                put(record);
            }
        }
    }

    private void put(LeafRecord record) {
        LeafPool pool = pool(record.getService());
        Optional<Leaf> known = pool.find(record.getId());
        if (known.isEmpty()) {
            Leaf leaf = new Leaf(
                    record.getId(),
                    record.getService(),
                    record.getAddress(),
                    place.distanceTo(record.getZone()),
                    record.getSlots(),
                    Duration.ofMillis(record.getColdMillis()),
                    clock.nowNanos());
            pool.add(leaf);
            known = Optional.of(leaf);
            warmLater(leaf);
        }
        leafRecords.put(record.getId(), record);
        if (record.getPhase() == LeafRecord.Phase.DRAINING) {
            retire(known.get());
        }
    }

    /** Connects to a new leaf a little later, each host at another moment, so that its first caller need not wait. */
    private void warmLater(Leaf leaf) {
        long delayMillis = random.nextLong(WARM_WITHIN.toMillis());
        group.next().schedule(() -> warm(leaf), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void warm(Leaf leaf) {
        if (leaf.acceptsWork() && configuration.services().containsKey(leaf.service())) {
            connectionsTo(leaf).warm();
        }
    }

    private void remove(LeafRecord record) {
        LeafRecord known = leafRecords.remove(record.getId());
        if (known != null) {
            pool(known.getService()).remove(known.getId()).ifPresent(this::retire);
        }
    }

    private void retire(Leaf leaf) {
        leaf.leave();
        LeafConnections held = connections.remove(leaf);
        if (held != null) {
            held.retire();
        }
    }

    private LeafPool newPool(String service) {
        int reserve = budget.slackOf(entryHosts().size());
        RetryBudget own = RetryBudget.create(budget.ownPercent(), reserve);
        own.reduceTo(FIRST_BUDGET_PERCENT);
        return new LeafPool(service, own);
    }

    private int connectionShare(String service) {
        int most = Optional.ofNullable(configuration.services().get(service))
                .map(known -> known.maxConnections())
                .orElse(1);
        int share =
                (int) (most * CONNECTIONS_SHARED_OUT / Math.max(1, entryHosts().size()));
        return Math.max(1, share);
    }
}
