package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.bramblerack.connection.ConnectionShare;
import org.bramblerack.connection.ZoneHolders;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.WarmUpPlan;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.jspecify.annotations.Nullable;

/**
 * How this host reaches each leaf: by its own connections, or through the host that holds the connections to it.
 *
 * <p>The leaf of a shard accepts a limited number of connections from all hosts together. While every host can have at
 * least {@value #MIN_DIRECT_CONNECTIONS} of them and calls the leaf often enough to use them, each host connects
 * directly. In larger fleets, or if hosts rarely call a leaf, the hosts of the leaf's availability zone hold the
 * connections, and {@link ZoneHolders} assigns each shard to one of them.
 *
 * <p>Invariant: the shares of all hosts with the same tables never exceed the part of a leaf's connections that
 * {@link ConnectionShare} allocates, except that a host outside the zone may open one connection as a last resort.
 * Owned by the event loop.
 */
final class LeafAccess {
    /** A connection carries one request at a time, so a hedge needs a second one. */
    private static final int MIN_DIRECT_CONNECTIONS = 2;
    /** The index number of shards that no route names yet. */
    private static final int FUTURE_INDEX = 0;

    private final String self;
    private final HostLocation location;
    private final Map<String, ImmutableList<String>> hostsByZone = new HashMap<>();
    private final Map<ZoneIndex, ImmutableSortedSet<String>> shardsByZone = new HashMap<>();
    /** Kept between updates, since most changes of the tables move no shard. */
    private final Map<ZoneIndex, CachedHolders> holdersByZone = new HashMap<>();

    private final Map<String, Integer> indexOfShard = new HashMap<>();

    private long update;
    /** Computed on demand: it is read often, and the tables rarely change. */
    private @Nullable ImmutableSet<String> holders;

    private boolean throughHolders;
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private ImmutableList<String> hosts = ImmutableList.of();

    /**
     * Creates the access of a host that knows no leaves.
     *
     * @param self the peer address of this host
     */
    LeafAccess(String self, HostLocation location) {
        this.self = self;
        this.location = location;
    }

    /**
     * Applies the replicated tables.
     *
     * @param newThroughHolders true if shards are reached through holders regardless of the number of hosts
     */
    void update(
            Collection<HostRecord> entryHosts,
            Collection<LeafRecord> leaves,
            RoutingConfiguration newConfiguration,
            boolean newThroughHolders) {
        update++;
        holders = null;
        throughHolders = newThroughHolders;
        configuration = newConfiguration;
        hosts = entryHosts.stream().map(HostRecord::getPeerAddress).sorted().collect(ImmutableList.toImmutableList());
        indexOfShard.clear();
        assignIndexes(leaves);
        hostsByZone.clear();
        Map<String, ImmutableList.Builder<String>> zoneHosts = new HashMap<>();
        for (HostRecord host : entryHosts) {
            zoneHosts
                    .computeIfAbsent(host.getZone(), unused -> ImmutableList.builder())
                    .add(host.getPeerAddress());
        }
        zoneHosts.forEach((zone, addresses) -> hostsByZone.put(zone, addresses.build()));
        shardsByZone.clear();
        Map<ZoneIndex, ImmutableSortedSet.Builder<String>> zoneShards = new HashMap<>();
        for (LeafRecord leaf : leaves) {
            Integer index = indexOfShard.get(leaf.getService());
            if (index != null) {
                zoneShards
                        .computeIfAbsent(
                                new ZoneIndex(leaf.getZone(), index), unused -> ImmutableSortedSet.naturalOrder())
                        .add(leaf.getService());
            }
        }
        zoneShards.forEach((zone, services) -> shardsByZone.put(zone, services.build()));
        holdersByZone.keySet().retainAll(shardsByZone.keySet());
    }

    boolean isSelf(String host) {
        return host.equals(self);
    }

    /** Returns this host's rank among the entry hosts, by which a service's budget is divided. */
    FleetBudget.Rank rankFor(String service) {
        int position = hosts.indexOf(self);
        // A host that the tables do not list yet ranks after all listed hosts.
        return position >= 0
                ? FleetBudget.Rank.of(position, hosts.size(), service)
                : new FleetBudget.Rank(hosts.size(), hosts.size() + 1);
    }

    /** Returns true if hosts reach the leaves of a service through holders. */
    boolean isHeld(String service) {
        return indexOfShard.containsKey(service)
                && (throughHolders || evenShare(service, hosts.size()) < MIN_DIRECT_CONNECTIONS);
    }

    /** Returns true if any shard is reached through holders, so that links to them are needed. */
    boolean isAnyHeld() {
        return indexOfShard.keySet().stream().anyMatch(this::isHeld);
    }

    /**
     * Returns the hosts through which to call a leaf, in order of preference; empty if this host calls it directly.
     *
     * @param zone the availability zone of the leaf
     */
    ImmutableList<String> holdersOf(String service, String zone) {
        if (!isHeld(service)) {
            return ImmutableList.of();
        }
        ImmutableList<String> holders = zoneHolders(zone, service).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self) ? ImmutableList.of() : holders;
    }

    /**
     * Returns true if this host keeps connections to a leaf open ahead of use. False while the tables list no host, as
     * when a whole fleet starts, since each of its hosts would then connect to every leaf.
     */
    boolean keepsConnections(String service, String zone) {
        return !hosts.isEmpty() && holdersOf(service, zone).isEmpty();
    }

    /** Returns true if this host is the holder of a leaf or a backup, or if the leaf is called directly. */
    boolean isHolderOrBackup(String service, String zone) {
        return !isHeld(service) || zoneHolders(zone, service).of(service).contains(self);
    }

    /** Returns true if this host is the holder of a shard in its own availability zone. */
    boolean isHolderOf(String service) {
        ImmutableList<String> holders = zoneHolders(location.zone(), service).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self);
    }

    /**
     * Returns true if this host may send requests to a leaf while it is cold. Only one host may: the holder of the
     * leaf, or one host of its zone that the replicated tables determine.
     */
    boolean maySendToColdLeaf(String leafId, String service, String zone) {
        ImmutableList<String> senders = isHeld(service)
                ? zoneHolders(zone, service).of(service)
                : ZoneHolders.compute(candidatesIn(zone), ImmutableSortedSet.of(leafId))
                        .of(leafId);
        return !senders.isEmpty() && senders.get(0).equals(self);
    }

    /**
     * Returns which hosts call leaves for queries, counting this host in its zone even if the tables do not list it
     * yet. Unknown while no leaves or no hosts are known, as on the first host to start.
     */
    WarmUpPlan.LeafCalls leafCalls() {
        if (shardsByZone.isEmpty() || hosts.isEmpty()) {
            return WarmUpPlan.LeafCalls.UNKNOWN;
        }
        for (Map.Entry<ZoneIndex, ImmutableSortedSet<String>> shards : shardsByZone.entrySet()) {
            if (shards.getValue().stream().anyMatch(shard -> !isHeld(shard))
                    || wouldBeHolderOrBackup(shards.getKey().zone(), shards.getValue())) {
                return WarmUpPlan.LeafCalls.MADE_HERE;
            }
        }
        return WarmUpPlan.LeafCalls.MADE_BY_OTHERS;
    }

    private boolean wouldBeHolderOrBackup(String zone, ImmutableSortedSet<String> shards) {
        Set<String> candidates = new HashSet<>(candidatesIn(zone));
        if (zone.equals(location.zone())) {
            candidates.add(self);
        }
        return candidates.contains(self)
                && ZoneHolders.compute(candidates, shards).hosts().contains(self);
    }

    /** Returns the number of availability zones in which a shard has a leaf. */
    int zonesOf(String service) {
        return (int) shardsByZone.values().stream()
                .filter(services -> services.contains(service))
                .count();
    }

    /** Returns the other hosts that are holders or backups of any shard in any zone. */
    ImmutableSet<String> holders() {
        ImmutableSet<String> known = holders;
        if (known == null) {
            known = computeHolders();
            holders = known;
        }
        return known;
    }

    private ImmutableSet<String> computeHolders() {
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        shardsByZone.forEach((key, services) -> services.forEach(service -> {
            if (isHeld(service)) {
                zoneHolders(key.zone(), service).of(service).stream()
                        .filter(host -> !host.equals(self))
                        .forEach(all::add);
            }
        }));
        return all.build();
    }

    /** Returns the maximum number of connections from this host to a leaf, at least 1. */
    int connectionShare(String service, String zone) {
        int direct = evenShare(service, hosts.size());
        if (!isHeld(service)) {
            return Math.max(1, direct);
        }
        if (!isHolderOrBackup(service, zone)) {
            return 1;
        }
        int holderShare = evenShare(service, candidatesIn(zone).size());
        return Math.max(
                1,
                direct < MIN_DIRECT_CONNECTIONS
                        ? holderShare
                        : Math.min(holderShare, holderShareBesideDirect(service, zone)));
    }

    /**
     * Returns how many connections a holder may have while other hosts may still have direct ones, shortly after the
     * change to holders. Never fewer than its direct share.
     */
    private int holderShareBesideDirect(String service, String zone) {
        int direct = evenShare(service, hosts.size());
        int holdersAndBackups = zoneHolders(zone, service).of(service).size();
        int remaining = evenShare(service, 1) - direct * (hosts.size() - holdersAndBackups);
        return Math.max(direct, remaining / Math.max(1, holdersAndBackups));
    }

    /**
     * Determines which services are shards, and the index of each.
     *
     * <p>Each index has its own holders, so that building a new index beside it moves none of them. A service that no
     * route names counts as a shard of a future index. A service that is the target of a single-answer route is not a
     * shard, unless a scatter route names it too.
     */
    private void assignIndexes(Collection<LeafRecord> leaves) {
        Set<String> singles = new HashSet<>();
        int lastIndex = FUTURE_INDEX;
        for (Route route : configuration.routes()) {
            if (route.target() instanceof RouteTarget.Scatter scatter) {
                lastIndex++;
                for (String shard : scatter.shards()) {
                    indexOfShard.putIfAbsent(shard, lastIndex);
                }
            } else {
                singles.addAll(route.target().services());
            }
        }
        for (LeafRecord leaf : leaves) {
            if (!singles.contains(leaf.getService())) {
                indexOfShard.putIfAbsent(leaf.getService(), FUTURE_INDEX);
            }
        }
    }

    private int evenShare(String service, int hostCount) {
        LeafService known = configuration.services().get(service);
        int maxConnections = known == null ? 1 : known.maxConnections();
        return ConnectionShare.of(maxConnections, hostCount);
    }

    /** Returns the holders of a zone for the index of a shard. */
    private ZoneHolders zoneHolders(String zone, String shard) {
        ZoneIndex key = new ZoneIndex(zone, indexOfShard.getOrDefault(shard, FUTURE_INDEX));
        CachedHolders known = holdersByZone.get(key);
        if (known == null || known.update() != update) {
            known = updateHolders(key, known);
            holdersByZone.put(key, known);
        }
        return known.holders();
    }

    /** Computes the holders of a zone, unless the earlier ones are still valid. */
    private CachedHolders updateHolders(ZoneIndex key, @Nullable CachedHolders before) {
        ImmutableList<String> candidates = candidatesIn(key.zone());
        ImmutableSortedSet<String> services = shardsByZone.getOrDefault(key, ImmutableSortedSet.of());
        ZoneHolders holders = before != null && before.isComputedFrom(candidates, services)
                ? before.holders()
                : ZoneHolders.compute(candidates, services);
        return new CachedHolders(update, candidates, services, holders);
    }

    /** The shards of one index that have leaves in a zone. Indexes are numbered in the order of the routes. */
    private record ZoneIndex(String zone, int index) {}

    /**
     * The holders of a zone and the inputs that they were computed from.
     *
     * @param update the number of the table update at which the inputs were last compared
     */
    private record CachedHolders(
            long update, ImmutableList<String> candidates, ImmutableSortedSet<String> services, ZoneHolders holders) {
        boolean isComputedFrom(ImmutableList<String> otherCandidates, ImmutableSortedSet<String> otherServices) {
            return candidates.equals(otherCandidates) && services.equals(otherServices);
        }
    }

    /** Returns the hosts of the zone; if there are none, those of its region; if there are none either, all hosts. */
    private ImmutableList<String> candidatesIn(String zone) {
        ImmutableList<String> inZone = hostsByZone.getOrDefault(zone, ImmutableList.of());
        if (!inZone.isEmpty()) {
            return inZone;
        }
        ImmutableList.Builder<String> inRegion = ImmutableList.builder();
        hostsByZone.forEach((other, addresses) -> {
            if (location.regionOf(other).equals(location.regionOf(zone))) {
                inRegion.addAll(addresses);
            }
        });
        ImmutableList<String> near = inRegion.build();
        return near.isEmpty() ? hosts : near;
    }
}
