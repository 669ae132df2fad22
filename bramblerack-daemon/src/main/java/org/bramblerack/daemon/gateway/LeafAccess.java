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
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;

/**
 * How this host reaches each leaf: by connections of its own, or through the host that holds the connections to it.
 *
 * <p>A shard's leafs take a bounded number of connections from all hosts together. While every host can have at least
 * {@value #LEAST_DIRECT_CONNECTIONS}, each connects itself; in a larger fleet the hosts of the leaf's availability zone
 * share the connections out, and {@link ZoneHolders} says which of them asks.
 *
 * <p>Invariant: the shares of all hosts that agree on the tables are never more than the part that
 * {@link ConnectionShare} gives out of what a leaf takes, but that a host outside the zone may open one as a last
 * resort. Owned by the event loop.
 */
final class LeafAccess {
    /** One connection carries one request at a time: with a single one, a hedge of another query would have to wait. */
    private static final int LEAST_DIRECT_CONNECTIONS = 2;

    private final String self;
    private final Place place;
    private final Map<String, ImmutableList<String>> hostsByZone = new HashMap<>();
    private final Map<String, ImmutableSortedSet<String>> shardsByZone = new HashMap<>();
    private final Map<String, ZoneHolders> holdersByZone = new HashMap<>();
    private final Set<String> shards = new HashSet<>();
    private RoutingConfiguration configuration = RoutingConfiguration.NONE;
    private ImmutableList<String> hosts = ImmutableList.of();

    /**
     * Creates the access of a host that knows no leafs.
     *
     * @param self the peer address of this host
     */
    LeafAccess(String self, Place place) {
        this.self = self;
        this.place = place;
    }

    /** Takes over the agreed tables. */
    void update(
            Collection<HostRecord> entryHosts, Collection<LeafRecord> leaves, RoutingConfiguration newConfiguration) {
        configuration = newConfiguration;
        hosts = entryHosts.stream().map(HostRecord::getPeerAddress).collect(ImmutableList.toImmutableList());
        holdersByZone.clear();
        shards.clear();
        leaves.forEach(leaf -> shards.add(leaf.getService()));
        configuration.routes().forEach(this::addShards);
        configuration.routes().forEach(this::removeSingles);
        hostsByZone.clear();
        Map<String, ImmutableList.Builder<String>> zoneHosts = new HashMap<>();
        for (HostRecord host : entryHosts) {
            zoneHosts
                    .computeIfAbsent(host.getZone(), unused -> ImmutableList.builder())
                    .add(host.getPeerAddress());
        }
        zoneHosts.forEach((zone, addresses) -> hostsByZone.put(zone, addresses.build()));
        shardsByZone.clear();
        Map<String, ImmutableSortedSet.Builder<String>> zoneShards = new HashMap<>();
        for (LeafRecord leaf : leaves) {
            if (shards.contains(leaf.getService())) {
                zoneShards
                        .computeIfAbsent(leaf.getZone(), unused -> ImmutableSortedSet.naturalOrder())
                        .add(leaf.getService());
            }
        }
        zoneShards.forEach((zone, services) -> shardsByZone.put(zone, services.build()));
    }

    /** Returns true if hosts reach the leafs of a service through holders. */
    boolean isHeld(String service) {
        return shards.contains(service) && evenShare(service, hosts.size()) < LEAST_DIRECT_CONNECTIONS;
    }

    /** Returns true if any shard is held, so that links to holders are needed. */
    boolean isAnyHeld() {
        return shards.stream().anyMatch(this::isHeld);
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
        ImmutableList<String> holders = holdersIn(zone).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self) ? ImmutableList.of() : holders;
    }

    /** Returns true if this host should keep connections to a leaf open ahead of their use. */
    boolean keepsConnections(String service, String zone) {
        return holdersOf(service, zone).isEmpty();
    }

    /** Returns true if this host may be asked to stand in for the holder of a leaf, or is the holder. */
    boolean isNamedFor(String service, String zone) {
        return !isHeld(service) || holdersIn(zone).of(service).contains(self);
    }

    /** Returns true if this host is the holder of a shard in its own availability zone. */
    boolean isHolderOf(String service) {
        ImmutableList<String> holders = holdersIn(place.zone()).of(service);
        return !holders.isEmpty() && holders.get(0).equals(self);
    }

    /** Returns in how many availability zones a shard has a leaf. */
    int zonesOf(String service) {
        return (int) shardsByZone.values().stream()
                .filter(services -> services.contains(service))
                .count();
    }

    /** Returns the hosts that hold any shard in any zone or stand in for one that does, but this one. */
    ImmutableSet<String> holders() {
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        shardsByZone.forEach((zone, services) -> services.forEach(service -> {
            if (isHeld(service)) {
                holdersIn(zone).of(service).stream()
                        .filter(host -> !host.equals(self))
                        .forEach(all::add);
            }
        }));
        return all.build();
    }

    /** Returns how many connections this host may have to a leaf, at least 1. */
    int connectionShare(String service, String zone) {
        if (!isHeld(service)) {
            return Math.max(1, evenShare(service, hosts.size()));
        }
        ImmutableList<String> candidates = candidatesIn(zone);
        return candidates.contains(self) ? Math.max(1, evenShare(service, candidates.size())) : 1;
    }

    /** A service that no route asks for single answers is taken for a shard: the next version may name it as one. */
    private void removeSingles(Route route) {
        if (!(route.target() instanceof RouteTarget.Scatter)) {
            shards.removeAll(route.target().services());
        }
    }

    private void addShards(Route route) {
        if (route.target() instanceof RouteTarget.Scatter scatter) {
            shards.addAll(scatter.shards());
        }
    }

    private int evenShare(String service, int hostCount) {
        LeafService known = configuration.services().get(service);
        int most = known == null ? 1 : known.maxConnections();
        return ConnectionShare.of(most, hostCount);
    }

    private ZoneHolders holdersIn(String zone) {
        return holdersByZone.computeIfAbsent(
                zone,
                unused -> ZoneHolders.compute(
                        candidatesIn(zone), shardsByZone.getOrDefault(zone, ImmutableSortedSet.of())));
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
