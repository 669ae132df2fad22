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
 * The state of the fleet as known to this host: the routing configuration in force, the leaves and the other hosts.
 *
 * <p>Invariants: the revision and the configuration's version never decrease; a leaf that is draining receives no new
 * work once the change is applied. Owned by the event loop.
 */
public final class FleetView {
    private static final EventLog EVENTS = EventLog.of(FleetView.class);
    /** The maximum number of leaves or fingerprints in one log line. */
    private static final int MAX_LOGGED_NAMES = 12;

    private final String self;
    private final HostLocation location;
    private final long startedNanos;
    private final LeafAccess access;
    private final FleetBudget budget;
    private final ColdRequestLimit coldRequestLimit;
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
    private Runnable onSelfRemoved = () -> {};

    /**
     * Creates an empty view.
     *
     * @param self the peer address of this host
     */
    public FleetView(
            String self,
            HostLocation location,
            FleetBudget budget,
            ColdRequestLimit coldRequestLimit,
            RoutingPolicy policy,
            CallHeaders headerNames,
            EventLoopGroup group,
            MonotonicClock clock,
            RandomGenerator random) {
        this.self = self;
        this.location = location;
        this.hosts = new FleetHosts(location);
        this.startedNanos = clock.nowNanos();
        this.queries = new EventRate(startedNanos);
        this.routing = new RoutingContext(policy, EventLoopLag.create(LagSamplingPeriod.BUSY_PERIOD));
        this.access = new LeafAccess(self, location);
        this.budget = budget;
        this.coldRequestLimit = coldRequestLimit;
        this.clock = clock;
        this.connections = new LeafConnectionTable(this, headerNames, group, clock, random);
    }

    /** Returns the revision of the tables that were applied last. */
    public long revision() {
        return revision;
    }

    public RoutingConfiguration configuration() {
        return configuration;
    }

    /** Returns the filter for requests that end the leaves which run them. */
    HarmfulRequestFilter harmFilter() {
        return harmFilter;
    }

    /** Returns the routing state that all leaf pools of this host share. */
    RoutingContext routing() {
        return routing;
    }

    public HostLocation location() {
        return location;
    }

    /** Adds a task that runs when entry or control hosts have joined or left. */
    void onHostsChanged(Runnable task) {
        Runnable before = onHostsChanged;
        onHostsChanged = () -> {
            before.run();
            task.run();
        };
    }

    /** Sets a task that runs when the tables no longer list this host although it is running. */
    void onSelfRemoved(Runnable task) {
        onSelfRemoved = task;
    }

    /** Sets the observer of the connections to all leaves. */
    void onConnectionEvent(Consumer<ConnectionEvent> observer) {
        connections.setObserver(observer);
    }

    /** Returns true once requests can be served: a configuration and at least one leaf are known. */
    public boolean isComplete() {
        return configuration.version() > 0 && !leafRecords.isEmpty();
    }

    /** Returns the hosts that accept requests from callers, this one included once the tables list it. */
    public ImmutableList<HostRecord> entryHosts() {
        return hosts.entryHosts();
    }

    /** Returns the peer addresses of the control hosts, nearest first. */
    public ImmutableList<String> controlAddresses() {
        return hosts.controlAddresses();
    }

    /** Records a caller's query over shards. */
    void recordQuery() {
        queries.record(clock.nowNanos());
    }

    /** Returns how many queries over shards callers send to this host per minute. */
    int queriesPerMinute() {
        return queries.perMinute(clock.nowNanos());
    }

    /** Returns the region of a host, given by name or peer address, if the host is or was known. */
    Optional<String> regionOf(String host) {
        return hosts.regionOf(host);
    }

    /** Returns the region of a host, given by name or peer address, if it is known to differ from this host's. */
    Optional<String> otherRegionOf(String host) {
        return hosts.otherRegionOf(host);
    }

    /** Returns the leaves of a service; a service without leaves has an empty pool. */
    public LeafPool pool(String service) {
        return pools.computeIfAbsent(service, this::newPool);
    }

    Optional<Leaf> leaf(String id) {
        return leafRecord(id).flatMap(record -> pool(record.getService()).find(id));
    }

    /** Returns the hosts through which to call a leaf, in order of preference; empty if this host calls it directly. */
    ImmutableList<String> holdersOf(Leaf leaf) {
        return leafRecord(leaf.id())
                .map(record -> access().holdersOf(record.getService(), record.getZone()))
                .orElse(ImmutableList.of());
    }

    boolean isSelf(String host) {
        return access.isSelf(host);
    }

    /** Returns the other hosts that are holders or backups of any shard; empty if shards are called directly. */
    ImmutableSet<String> holders() {
        return access().holders();
    }

    /** Returns which hosts call leaves for queries, by the replicated tables. */
    WarmUpPlan.LeafCalls leafCalls() {
        return configuration.version() == 0 ? WarmUpPlan.LeafCalls.UNKNOWN : access().leafCalls();
    }

    /** Returns true if the leaves of a service are reached through holders. */
    boolean isHeld(String service) {
        return access().isHeld(service);
    }

    /** Returns true if any shard is reached through holders. */
    boolean usesHolders() {
        return access().isAnyHeld();
    }

    /** Returns the share of a query's shards at which a call would start at once. */
    double shareWithCapacity(RouteTarget.Scatter target, long nowNanos) {
        long count = target.shards().stream()
                .filter(shard -> pool(shard).hasCapacity(nowNanos))
                .count();
        return (double) count / target.shards().size();
    }

    /**
     * Returns true if queries may delegate shards to other hosts; always true if shards are reached through holders.
     */
    boolean usesStages() {
        return usesHolders() || routing.uses(RoutingFeature.STAGES);
    }

    /** Returns the records of all leaves that have not left. */
    ImmutableList<LeafRecord> leafRecords() {
        return ImmutableList.copyOf(leafRecords.values());
    }

    public Optional<LeafRecord> leafRecord(String id) {
        return Optional.ofNullable(leafRecords.get(id));
    }

    /** Returns the connections of this host to a leaf, with all table changes applied. */
    public LeafConnections connectionsTo(Leaf leaf) {
        // Apply pending table changes first, so that a new leaf has its cold limit before it is called.
        access();
        return connections.to(leaf);
    }

    /** Returns the observed latencies of a route's calls. */
    public LatencyTracker latency(Route route) {
        return latencies.computeIfAbsent(route.name(), unused -> HedgeTiming.newLatencyTracker(route.goal()));
    }

    /**
     * Applies a change of the tables.
     *
     * @param newer the configuration that the change contains, if any
     */
    public void apply(TableDelta delta, Optional<RoutingConfiguration> newer) {
        revision = delta.getRevision();
        if (newer.isPresent() && newer.get().version() > configuration.version()) {
            configuration = newer.get();
        }
        int hostsBefore = entryHosts().size();
        int leavesBefore = leafRecords.size();
        boolean selfRemoved = hosts.removes(delta, self);
        boolean hostsChanged = hosts.apply(delta);
        boolean zonesChanged = applyDrainedZones(delta);
        boolean leavesChanged = applyLeaves(delta);
        boolean accessModeChanged = throughHolders != delta.getThroughHolders();
        throughHolders = delta.getThroughHolders();
        applyHarm(delta);
        if (selfRemoved) {
            onSelfRemoved.run();
        }
        if (hostsChanged || leavesChanged || zonesChanged || accessModeChanged || newer.isPresent()) {
            accessStale = true;
            if (hostsChanged) {
                onHostsChanged.run();
            }
            connections.scheduleReview();
            EVENTS.info("tables_changed")
                    .with("revision", revision)
                    .with("configuration", configuration.version())
                    .with("entryHosts", entryHosts().size())
                    .with("entryHostsBefore", hostsBefore)
                    .with("leafs", leafRecords.size())
                    .with("leafsBefore", leavesBefore)
                    .with("throughHolders", throughHolders)
                    .with("leaving", leavingLeafIds(delta))
                    .with("drainedZones", String.join(" ", drainedZones))
                    .write();
        }
    }

    private void applyHarm(TableDelta delta) {
        int before = harmFilter.replicatedRestrictedCount();
        harmFilter.applyReplicated(delta.getHarmList(), delta.getWhole(), clock.nowNanos());
        if (harmFilter.replicatedRestrictedCount() != before) {
            EVENTS.info("requests_barred")
                    .with("count", harmFilter.replicatedRestrictedCount())
                    .with("before", before)
                    .with("revision", revision)
                    .with("fingerprints", quarantinedFingerprints(delta))
                    .write();
        }
    }

    /** Returns the first fingerprints that a change quarantines, for a log line. */
    private static String quarantinedFingerprints(TableDelta delta) {
        return delta.getHarmList().stream()
                .filter(record -> record.getVerdict() == HarmRecord.Verdict.BARRED)
                .flatMap(record -> Fingerprint.fromBytes(record.getFingerprint()).stream())
                .limit(MAX_LOGGED_NAMES)
                .map(Fingerprint::toString)
                .collect(Collectors.joining(" "));
    }

    /** Returns how leaves are reached, recomputed on the first call after a change, since changes arrive in series. */
    LeafAccess access() {
        if (accessStale) {
            accessStale = false;
            access.update(entryHosts(), leafRecords.values(), configuration, throughHolders);
            pools.values().forEach(this::updatePool);
            leafRecords.values().forEach(this::limitColdRequests);
        }
        return access;
    }

    /** Returns the first leaves of a change that accept no new work, for a log line. */
    private static String leavingLeafIds(TableDelta delta) {
        return delta.getLeavesList().stream()
                .filter(leaf -> leaf.getPhase() != LeafRecord.Phase.READY)
                .map(LeafRecord::getId)
                .limit(MAX_LOGGED_NAMES)
                .collect(Collectors.joining(" "));
    }

    /** Returns true if the set of drained zones changed. */
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

    /** A leaf that received no work while its zone was drained may be cold again. */
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

    /** Sets a leaf's rate limit while it is cold, and whether this host may send it requests within that limit. */
    private void limitColdRequests(LeafRecord record) {
        LeafService service = configuration.services().get(record.getService());
        Optional<Leaf> leaf = leaf(record.getId());
        if (service == null || service.coldRequestsPerSecond() <= 0 || leaf.isEmpty()) {
            return;
        }
        leaf.get()
                .limitColdRequests(
                        coldRequestLimit.maxPerSecond(service.coldRequestsPerSecond()),
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
        WindowedBudget ownBudget = budget.newShare(startedNanos);
        LeafPool pool = new LeafPool(service, ownBudget, routing);
        updatePool(pool);
        return pool;
    }

    /** Updates a pool's retry budget and whether this host is the holder of the service. */
    private void updatePool(LeafPool pool) {
        assignBudget(pool.service(), pool.budget());
        pool.setHeldLocally(access().isHeld(pool.service()) && access().isHolderOf(pool.service()));
    }

    /** Sets this host's share of the fleet's budget for extra attempts at a service. */
    private void assignBudget(String service, WindowedBudget ownBudget) {
        FleetBudget.Rank rank = access().rankFor(service);
        if (!access().isHeld(service)) {
            budget.assignShare(ownBudget, rank);
        } else if (access().isHolderOf(service)) {
            budget.assignHolderShare(ownBudget, rank.hosts(), access().zonesOf(service));
        } else {
            budget.assignNonHolderShare(ownBudget, rank);
        }
    }

    /** Returns the maximum number of connections from this host to a leaf. */
    int connectionShare(Leaf leaf) {
        String zone = leafRecord(leaf.id()).map(LeafRecord::getZone).orElse("");
        return access().connectionShare(leaf.service(), zone);
    }
}
