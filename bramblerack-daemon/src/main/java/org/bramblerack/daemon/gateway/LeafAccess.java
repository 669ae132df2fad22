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
 * How this host reaches each leaf: by connections of its own, or through the host that holds the connections to it.
 *
 * <p>A shard's leafs take a bounded number of connections from all hosts together. While every host can have at least
 * {@value #LEAST_DIRECT_CONNECTIONS} and uses them often, each connects itself; in a larger fleet, or one in which a
 * host calls a leaf seldom, the hosts of the leaf's availability zone share the connections out, and
 * {@link ZoneHolders} says which of them asks.
 *
 * <p>Invariant: the shares of all hosts that agree on the tables are never more than the part that
 * {@link ConnectionShare} gives out of what a leaf takes, but that a host outside the zone may open one as a last
 * resort. Owned by the event loop.
 */
final class LeafAccess {
    /** One connection carries one request at a time: with a single one, a hedge of another query would have to wait. */
    private static final int LEAST_DIRECT_CONNECTIONS = 2;
    /** The number of the shards that no route names yet. */
    private static final int INDEX_TO_COME = 0;

    private final String self;
    private final HostLocation place;
    private final Map<String, ImmutableList<String>> hostsByZone = new HashMap<>();
    private final Map<ZoneIndex, ImmutableSortedSet<String>> shardsByZone = new HashMap<>();
    /** Kept from one update to the next, since most changes of the tables move no shard. */
    private final Map<ZoneIndex, HeldZone> holdersByZone = new HashMap<>();

    /** The number of the index that each shard belongs to. */
    private final Map<String, Integer> indexOfShard = new HashMap<>();

    private long update;
    /** Worked out when it is asked for: every host looks at its links again and again, and the tables seldom change. */
    private @Nullable ImmutableSet<String> holders;

    private boolean throughHolders;
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private ImmutableList<String> hosts = ImmutableList.of();

    /**
     * Creates the access of a host that knows no leafs.
     *
     * @param self the peer address of this host
     */
    LeafAccess(String self, HostLocation place) {
        this.self = self;
        this.place = place;
    }

    /**
     * Takes over the agreed tables.
     *
     * @param newThroughHolders true if shards are reached through holders however few the hosts are
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

    /** Returns true if a peer address is this host's. */
    boolean isSelf(String host) {
        return host.equals(self);
    }

    /** Returns which turn this host has when something is shared out among the entry hosts for one service. */
    FleetBudget.Rank rankFor(String service) {
        int position = hosts.indexOf(self);
        // A host that the tables do not name yet comes after all that they do name.
        return position >= 0
                ? FleetBudget.Rank.of(position, hosts.size(), service)
                : new FleetBudget.Rank(hosts.size(), hosts.size() + 1);
    }

    /** Returns true if hosts reach the leafs of a service through holders. */
    boolean isHeld(String service) {
        return indexOfShard.containsKey(service)
                && (throughHolders || evenShare(service, hosts.size()) < LEAST_DIRECT_CONNECTIONS);
    }

    /** Returns true if any shard is held, so that links to holders are needed. */
    boolean isAnyHeld() {
        return indexOfShard.keySet().stream().anyMatch(this::isHeld);
    }

    /**
     * Returns the hosts through which to ask a leaf, the preferred first; empty if this host is to ask it itself.
     *
     * @param zone the availability zone of the leaf
     */
    ImmutableList<String> holdersOf(String service, String zone) {
        if (!isHeld(service)) {
            return ImmutableList.of();
        }
        ImmutableList<String> holders = holdersIn(zone, service).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self) ? ImmutableList.of() : holders;
    }

    /**
     * Returns true if this host should keep connections to a leaf open ahead of their use. While the tables name no
     * host, as when a whole fleet starts, each would take itself for the only one and connect to every leaf.
     */
    boolean keepsConnections(String service, String zone) {
        return !hosts.isEmpty() && holdersOf(service, zone).isEmpty();
    }

    /** Returns true if this host may be asked to stand in for the holder of a leaf, or is the holder. */
    boolean isHolderOrBackup(String service, String zone) {
        return !isHeld(service) || holdersIn(zone, service).of(service).contains(self);
    }

    /** Returns true if this host is the holder of a shard in its own availability zone. */
    boolean isHolderOf(String service) {
        ImmutableList<String> holders = holdersIn(place.zone(), service).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self);
    }

    /**
     * Returns true if this host is the one that may send requests to a leaf while it is cold: the holder of the leaf,
     * or one of the hosts of its zone that the agreed tables name.
     */
    boolean maySendToColdLeaf(String leafId, String service, String zone) {
        ImmutableList<String> spenders = isHeld(service)
                ? holdersIn(zone, service).of(service)
                : ZoneHolders.compute(candidatesIn(zone), ImmutableSortedSet.of(leafId))
                        .of(leafId);
        return !spenders.isEmpty() && spenders.get(0).equals(self);
    }

    /**
     * Says who calls leafs for queries, this host counted in its zone whether the tables name it yet or not. Unknown
     * while no leafs are known, or no hosts: a host that starts first would take itself for the only one.
     */
    WarmUpPlan.LeafCalls leafCalls() {
        if (shardsByZone.isEmpty() || hosts.isEmpty()) {
            return WarmUpPlan.LeafCalls.UNKNOWN;
        }
        for (Map.Entry<ZoneIndex, ImmutableSortedSet<String>> shards : shardsByZone.entrySet()) {
            if (shards.getValue().stream().anyMatch(shard -> !isHeld(shard))
                    || wouldHold(shards.getKey().zone(), shards.getValue())) {
                return WarmUpPlan.LeafCalls.MADE_HERE;
            }
        }
        return WarmUpPlan.LeafCalls.MADE_BY_OTHERS;
    }

    private boolean wouldHold(String zone, ImmutableSortedSet<String> shards) {
        Set<String> candidates = new HashSet<>(candidatesIn(zone));
        if (zone.equals(place.zone())) {
            candidates.add(self);
        }
        return candidates.contains(self)
                && ZoneHolders.compute(candidates, shards).hosts().contains(self);
    }

    /** Returns in how many availability zones a shard has a leaf. */
    int zonesOf(String service) {
        return (int) shardsByZone.values().stream()
                .filter(services -> services.contains(service))
                .count();
    }

    /** Returns the hosts that hold any shard in any zone or stand in for one that does, but this one. */
    ImmutableSet<String> holders() {
        ImmutableSet<String> known = holders;
        if (known == null) {
            known = findHolders();
            holders = known;
        }
        return known;
    }

    private ImmutableSet<String> findHolders() {
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        shardsByZone.forEach((key, services) -> services.forEach(service -> {
            if (isHeld(service)) {
                holdersIn(key.zone(), service).of(service).stream()
                        .filter(host -> !host.equals(self))
                        .forEach(all::add);
            }
        }));
        return all.build();
    }

    /** Returns how many connections this host may have to a leaf, at least 1. */
    int connectionShare(String service, String zone) {
        int direct = evenShare(service, hosts.size());
        if (!isHeld(service)) {
            return Math.max(1, direct);
        }
        if (!isHolderOrBackup(service, zone)) {
            return 1;
        }
        int held = evenShare(service, candidatesIn(zone).size());
        return Math.max(1, direct < LEAST_DIRECT_CONNECTIONS ? held : Math.min(held, besideDirect(service, zone)));
    }

    /**
     * Returns how many connections a holder may have while the other hosts still have those of their own, as for a
     * moment after holders came to be used: never fewer than it had.
     */
    private int besideDirect(String service, String zone) {
        int direct = evenShare(service, hosts.size());
        int named = holdersIn(zone, service).of(service).size();
        int left = evenShare(service, 1) - direct * (hosts.size() - named);
        return Math.max(direct, left / Math.max(1, named));
    }

    /**
     * Notes which services are shards, and of which index.
     *
     * <p>Each index has holders of its own, so that another one that is being built beside it moves none of them. A
     * service that no route names is taken for a shard of an index to come. One that a route asks for single answers is
     * none, unless a query asks it as a shard as well.
     */
    private void assignIndexes(Collection<LeafRecord> leaves) {
        Set<String> singles = new HashSet<>();
        int lastIndex = INDEX_TO_COME;
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
                indexOfShard.putIfAbsent(leaf.getService(), INDEX_TO_COME);
            }
        }
    }

    private int evenShare(String service, int hostCount) {
        LeafService known = configuration.services().get(service);
        int most = known == null ? 1 : known.maxConnections();
        return ConnectionShare.of(most, hostCount);
    }

    /** Returns the holders of a zone for the index that a shard belongs to. */
    private ZoneHolders holdersIn(String zone, String shard) {
        ZoneIndex key = new ZoneIndex(zone, indexOfShard.getOrDefault(shard, INDEX_TO_COME));
        HeldZone known = holdersByZone.get(key);
        if (known == null || known.update() != update) {
            known = heldZone(key, known);
            holdersByZone.put(key, known);
        }
        return known.holders();
    }

    /** Works the holders of a zone out, unless they are still those that were worked out before. */
    private HeldZone heldZone(ZoneIndex key, @Nullable HeldZone before) {
        ImmutableList<String> candidates = candidatesIn(key.zone());
        ImmutableSortedSet<String> services = shardsByZone.getOrDefault(key, ImmutableSortedSet.of());
        ZoneHolders holders = before != null && before.followsFrom(candidates, services)
                ? before.holders()
                : ZoneHolders.compute(candidates, services);
        return new HeldZone(update, candidates, services, holders);
    }

    /** The shards of one index that have leafs in a zone; indices are numbered as the routes name them. */
    private record ZoneIndex(String zone, int index) {}

    /**
     * The holders of a zone and what they follow from.
     *
     * @param update the number of the update of the tables at which they were last compared
     */
    private record HeldZone(
            long update, ImmutableList<String> candidates, ImmutableSortedSet<String> services, ZoneHolders holders) {
        boolean followsFrom(ImmutableList<String> otherCandidates, ImmutableSortedSet<String> otherServices) {
            return candidates.equals(otherCandidates) && services.equals(otherServices);
        }
    }

    /** The hosts of the zone; if it has none left, those of its region; if that has none, all. */
    private ImmutableList<String> candidatesIn(String zone) {
        ImmutableList<String> inZone = hostsByZone.getOrDefault(zone, ImmutableList.of());
        if (!inZone.isEmpty()) {
            return inZone;
        }
        ImmutableList.Builder<String> inRegion = ImmutableList.builder();
        hostsByZone.forEach((other, addresses) -> {
            if (place.regionOf(other).equals(place.regionOf(zone))) {
                inRegion.addAll(addresses);
            }
        });
        ImmutableList<String> near = inRegion.build();
        return near.isEmpty() ? hosts : near;
    }
}
