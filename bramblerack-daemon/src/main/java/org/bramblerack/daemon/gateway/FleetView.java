package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.ConnectionEvent;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.process.EventRate;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.WarmUpPlan;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.process.harm.Fingerprint;
import org.bramblerack.process.harm.HarmfulRequestFilter;
import org.bramblerack.process.leaf.ColdRequestLimit;
import org.bramblerack.process.leaf.EventLoopLag;
import org.bramblerack.process.leaf.LagSamplingPeriod;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.request.routed.HedgeTiming;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HarmRecord;
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
    private static final EventLog EVENTS = EventLog.of(FleetView.class);
    /** How many leafs a line names at the most. */
    private static final int MOST_NAMED = 12;

    private final HostLocation location;
    private final long startedNanos;
    private final LeafAccess access;
    private final FleetBudget budget;
    private final ColdRequestLimit coldBound;
    private final MonotonicClock clock;
    private final RoutingContext routing;
    private final Map<String, LeafPool> pools = new HashMap<>();
    private final LeafConnectionTable connections;
    private final HarmfulRequestFilter harmFilter = new HarmfulRequestFilter();
    private final FleetHosts hosts;
    private final Map<String, LeafRecord> leafRecords = new HashMap<>();
    private final Map<String, LatencyTracker> latencies = new HashMap<>();
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private long revision;
    private final EventRate queries;
    private boolean throughHolders;
    private ImmutableSet<String> drainedZones = ImmutableSet.of();
    private boolean accessStale;
    private Runnable onHostsChanged = () -> {};

    /**
     * Creates a view that knows nothing.
     *
     * @param self the peer address of this host
     */
    public FleetView(
            String self,
            HostLocation place,
            FleetBudget budget,
            ColdRequestLimit coldBound,
            RoutingPolicy policy,
            CallHeaders names,
            EventLoopGroup group,
            MonotonicClock clock,
            RandomGenerator random) {
        this.location = place;
        this.hosts = new FleetHosts(place);
        this.startedNanos = clock.nowNanos();
        this.queries = new EventRate(startedNanos);
        this.routing = new RoutingContext(policy, EventLoopLag.create(LagSamplingPeriod.BUSY_PERIOD));
        this.access = new LeafAccess(self, place);
        this.budget = budget;
        this.coldBound = coldBound;
        this.clock = clock;
        this.connections = new LeafConnectionTable(this, names, group, clock, random);
    }

    /** Returns the revision of the tables that was applied last. */
    public long revision() {
        return revision;
    }

    /** Returns the configuration in force on this host. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    /** Returns what keeps requests from leafs that end those which run them. */
    HarmfulRequestFilter harmFilter() {
        return harmFilter;
    }

    /** Returns what the routing decisions of this host share. */
    RoutingContext routing() {
        return routing;
    }

    /** Returns where this host is. */
    public HostLocation location() {
        return location;
    }

    /** Adds what to do when entry or control hosts have come or gone. */
    void onHostsChanged(Runnable task) {
        Runnable before = onHostsChanged;
        onHostsChanged = () -> {
            before.run();
            task.run();
        };
    }

    /** Sets what is told of each connection to a leaf. */
    void onConnectionEvent(Consumer<ConnectionEvent> observer) {
        connections.onEvent(observer);
    }

    /** Returns true once requests can be served: a configuration and at least one leaf are known. */
    public boolean isComplete() {
        return configuration.version() > 0 && !leafRecords.isEmpty();
    }

    /** Returns the other hosts and this one that take requests of callers. */
    public ImmutableList<HostRecord> entryHosts() {
        return hosts.entryHosts();
    }

    /** Returns the peer addresses of the hosts that serve control, the nearest first. */
    public ImmutableList<String> controlAddresses() {
        return hosts.controlAddresses();
    }

    /** Notes a query over shards of a caller. */
    void recordQuery() {
        queries.record(clock.nowNanos());
    }

    /** Returns how many queries over shards callers send here in a minute. */
    int queriesAMinute() {
        return queries.perMinute(clock.nowNanos());
    }

    /** Returns the region of a host with the given name or peer address, if it is or was known. */
    Optional<String> regionOf(String host) {
        return hosts.regionOf(host);
    }

    /** Returns the region of a host with the given name or peer address if it is known to be another one. */
    Optional<String> otherRegionOf(String host) {
        return hosts.otherRegionOf(host);
    }

    /** Returns the leafs of a service; a service without any has an empty pool. */
    public LeafPool pool(String service) {
        return pools.computeIfAbsent(service, this::newPool);
    }

    /** Returns a leaf by its identifier. */
    Optional<Leaf> leaf(String id) {
        return leafRecord(id).flatMap(record -> pool(record.getService()).find(id));
    }

    /** Returns the hosts through which to ask a leaf, the preferred first; empty if this host is to ask it itself. */
    ImmutableList<String> holdersOf(Leaf leaf) {
        return leafRecord(leaf.id())
                .map(record -> access().holdersOf(record.getService(), record.getZone()))
                .orElse(ImmutableList.of());
    }

    /** Returns true if a peer address is this host's. */
    boolean isSelf(String host) {
        return access.isSelf(host);
    }

    /** Returns the hosts that hold connections to any shard, if shards are reached through holders. */
    ImmutableSet<String> holders() {
        return access().holders();
    }

    /** Says who calls leafs for queries, by the agreed tables. */
    WarmUpPlan.LeafCalls leafCalls() {
        return configuration.version() == 0 ? WarmUpPlan.LeafCalls.UNKNOWN : access().leafCalls();
    }

    /** Returns true if the leafs of a service are reached through holders. */
    boolean isHeld(String service) {
        return access().isHeld(service);
    }

    /** Returns true if shards are reached through holders, since the hosts are too many to connect to every leaf. */
    boolean usesHolders() {
        return access().isAnyHeld();
    }

    /** Returns the share of a query's shards at which a call would begin at once. */
    double shareWithCapacity(RouteTarget.Scatter target, long nowNanos) {
        long count = target.shards().stream()
                .filter(shard -> pool(shard).hasCapacity(nowNanos))
                .count();
        return (double) count / target.shards().size();
    }

    /** Returns true if shards may be left to other hosts; those that are reached through holders always are. */
    boolean usesStages() {
        return usesHolders() || routing.uses(RoutingFeature.STAGES);
    }

    /** Returns the records of the leafs that have not left. */
    ImmutableList<LeafRecord> leafRecords() {
        return ImmutableList.copyOf(leafRecords.values());
    }

    /** Returns the record of a leaf. */
    public Optional<LeafRecord> leafRecord(String id) {
        return Optional.ofNullable(leafRecords.get(id));
    }

    /** Returns the connections of this host to a leaf. */
    public LeafConnections connectionsTo(Leaf leaf) {
        // A leaf that has just come is told what it bears before anything is sent to it.
        access();
        return connections.to(leaf);
    }

    /** Returns what is known of how long the calls of a route take. */
    public LatencyTracker latency(Route route) {
        return latencies.computeIfAbsent(route.name(), unused -> HedgeTiming.newLatencyTracker(route.goal()));
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
        int hostsBefore = entryHosts().size();
        int leavesBefore = leafRecords.size();
        boolean hostsChanged = hosts.apply(delta);
        boolean zonesChanged = applyDrainedZones(delta);
        boolean leavesChanged = applyLeaves(delta);
        boolean waysChanged = throughHolders != delta.getThroughHolders();
        throughHolders = delta.getThroughHolders();
        learnHarm(delta);
        if (hostsChanged || leavesChanged || zonesChanged || waysChanged || newer.isPresent()) {
            accessStale = true;
            if (hostsChanged) {
                onHostsChanged.run();
            }
            connections.reviewLater();
            EVENTS.info("tables_changed")
                    .with("revision", revision)
                    .with("configuration", configuration.version())
                    .with("entryHosts", entryHosts().size())
                    .with("entryHostsBefore", hostsBefore)
                    .with("leafs", leafRecords.size())
                    .with("leafsBefore", leavesBefore)
                    .with("throughHolders", throughHolders)
                    .with("leaving", leaving(delta))
                    .with("drainedZones", String.join(" ", drainedZones))
                    .write();
        }
    }

    private void learnHarm(TableDelta delta) {
        int before = harmFilter.replicatedRestrictedCount();
        harmFilter.applyReplicated(delta.getHarmList(), delta.getWhole(), clock.nowNanos());
        if (harmFilter.replicatedRestrictedCount() != before) {
            EVENTS.info("requests_barred")
                    .with("count", harmFilter.replicatedRestrictedCount())
                    .with("before", before)
                    .with("revision", revision)
                    .with("fingerprints", barred(delta))
                    .write();
        }
    }

    /** Returns the requests of a change that are sent to no leaf from now on, the first of them. */
    private static String barred(TableDelta delta) {
        return delta.getHarmList().stream()
                .filter(record -> record.getVerdict() == HarmRecord.Verdict.BARRED)
                .flatMap(record -> Fingerprint.fromBytes(record.getFingerprint()).stream())
                .limit(MOST_NAMED)
                .map(Fingerprint::toString)
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns how leafs are reached, worked out anew only if it is asked for after a change: changes come in series.
     */
    LeafAccess access() {
        if (accessStale) {
            accessStale = false;
            access.update(entryHosts(), leafRecords.values(), configuration, throughHolders);
            pools.values().forEach(this::takeOver);
            leafRecords.values().forEach(this::boundCold);
        }
        return access;
    }

    /** Returns the leafs of a change that take no new work from now on, the first of them by name. */
    private static String leaving(TableDelta delta) {
        return delta.getLeavesList().stream()
                .filter(leaf -> leaf.getPhase() != LeafRecord.Phase.READY)
                .map(LeafRecord::getId)
                .limit(MOST_NAMED)
                .collect(Collectors.joining(" "));
    }

    /** Returns true if the leafs of other availability zones than before get no work. */
    private boolean applyDrainedZones(TableDelta delta) {
        ImmutableSet<String> before = drainedZones;
        drainedZones = ImmutableSet.copyOf(delta.getDrainedZonesList());
        if (before.equals(drainedZones)) {
            return false;
        }
        for (LeafRecord record : leafRecords.values()) {
            leaf(record.getId()).ifPresent(leaf -> setDrained(leaf, record, before.contains(record.getZone())));
        }
        return true;
    }

    /** A leaf that got no work for long may have turned cold meanwhile. */
    private void setDrained(Leaf leaf, LeafRecord record, boolean wasDrained) {
        boolean drained = drainedZones.contains(record.getZone());
        leaf.setZoneDrained(drained);
        LeafService service = configuration.services().get(record.getService());
        if (wasDrained && !drained && service != null && service.coldRequestsPerSecond() > 0) {
            leaf.markCold(service.coldDuration(), clock.nowNanos());
        }
    }

    private boolean applyLeaves(TableDelta delta) {
        Set<String> before = ImmutableSet.copyOf(leafRecords.keySet());
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
        boolean leaving = delta.getLeavesList().stream().anyMatch(leaf -> leaf.getPhase() != LeafRecord.Phase.READY);
        boolean cold = delta.getLeavesList().stream().anyMatch(leaf -> leaf.getColdMillis() > 0);
        return leaving || cold || !before.equals(leafRecords.keySet());
    }

    private void put(LeafRecord record) {
        leafRecord(record.getId())
                .filter(known -> known.getIncarnation() != record.getIncarnation())
                .ifPresent(this::remove);
        LeafPool pool = pool(record.getService());
        Optional<Leaf> known = pool.find(record.getId());
        if (known.isEmpty()) {
            Leaf leaf = new Leaf(
                    record.getId(),
                    record.getService(),
                    record.getAddress(),
                    location.leafLocation(record.getZone()),
                    record.getSlots(),
                    Duration.ofMillis(record.getColdMillis()),
                    routing,
                    clock.nowNanos());
            leaf.setZoneDrained(drainedZones.contains(record.getZone()));
            pool.add(leaf);
            known = Optional.of(leaf);
        } else if (record.getColdMillis() > 0) {
            known.get().markCold(Duration.ofMillis(record.getColdMillis()), clock.nowNanos());
        }
        leafRecords.put(record.getId(), record);
        if (record.getPhase() == LeafRecord.Phase.DRAINING) {
            retire(known.get());
        }
    }

    /** Tells a leaf what it bears while it is cold, and whether this host may send it that. */
    private void boundCold(LeafRecord record) {
        LeafService service = configuration.services().get(record.getService());
        Optional<Leaf> leaf = leaf(record.getId());
        if (service == null || service.coldRequestsPerSecond() <= 0 || leaf.isEmpty()) {
            return;
        }
        leaf.get()
                .limitColdRequests(
                        coldBound.maxPerSecond(service.coldRequestsPerSecond()),
                        access.maySendToColdLeaf(record.getId(), record.getService(), record.getZone()),
                        clock.nowNanos());
    }

    private void remove(LeafRecord record) {
        LeafRecord known = leafRecords.remove(record.getId());
        if (known != null) {
            pool(known.getService()).remove(known.getId()).ifPresent(this::retire);
        }
    }

    private void retire(Leaf leaf) {
        leaf.leave();
        connections.retire(leaf);
    }

    private LeafPool newPool(String service) {
        WindowedBudget own = budget.newShare(startedNanos);
        LeafPool pool = new LeafPool(service, own, routing);
        takeOver(pool);
        return pool;
    }

    /** Tells the leafs of a service what the agreed tables say of this host's part in asking them. */
    private void takeOver(LeafPool pool) {
        shareOut(pool.service(), pool.budget());
        pool.setHeldLocally(access().isHeld(pool.service()) && access().isHolderOf(pool.service()));
    }

    /** Gives this host its part of the fleet's budget for a service, by the agreed tables. */
    private void shareOut(String service, WindowedBudget own) {
        FleetBudget.Rank turn = access().rankFor(service);
        if (!access().isHeld(service)) {
            budget.assignShare(own, turn);
        } else if (access().isHolderOf(service)) {
            budget.assignHolderShare(own, turn.hosts(), access().zonesOf(service));
        } else {
            budget.assignNonHolderShare(own, turn);
        }
    }

    /** Returns how many connections this host may have to a leaf. */
    int connectionShare(Leaf leaf) {
        String zone = leafRecord(leaf.id()).map(LeafRecord::getZone).orElse("");
        return access().connectionShare(leaf.service(), zone);
    }
}
