package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TableDelta;

/**
 * The hosts that the agreed tables name.
 *
 * <p>Invariant: a host that has gone is no longer listed, but where it was is remembered, since messages to it may
 * still be under way. Owned by the event loop; {@link #regionOf} and {@link #otherRegionOf} alone are safe for use by
 * many threads.
 */
final class FleetHosts {
    private final HostLocation place;
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private final Map<String, String> regionsByAddress = new ConcurrentHashMap<>();

    /** Creates an empty list of hosts as seen from a place. */
    FleetHosts(HostLocation place) {
        this.place = place;
    }

    /**
     * Applies what changed.
     *
     * @return true if other hosts take requests of callers than before
     */
    boolean apply(TableDelta delta) {
        ImmutableList<HostRecord> before = entryHosts();
        if (delta.getWhole()) {
            hosts.clear();
        }
        delta.getHostsList().forEach(this::apply);
        return !before.equals(entryHosts());
    }

    private void apply(HostRecord host) {
        if (host.getPhase() == HostRecord.Phase.GONE) {
            hosts.remove(host.getName());
        } else {
            hosts.put(host.getName(), host);
            regionsByAddress.put(host.getPeerAddress(), host.getRegion());
        }
    }

    /** Returns the hosts that take requests of callers. */
    ImmutableList<HostRecord> entryHosts() {
        return hosts.values().stream()
                .filter(host -> host.getEntry() && host.getPhase() == HostRecord.Phase.READY)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the peer addresses of the hosts that serve control, the nearest first. */
    ImmutableList<String> controlAddresses() {
        return hosts.values().stream()
                .filter(host -> !host.getControlAddress().isEmpty() && host.getPhase() == HostRecord.Phase.READY)
                .sorted(Comparator.comparing(host -> place.distanceTo(host.getZone())))
                .map(HostRecord::getPeerAddress)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the region of a host with the given name or peer address, if it is or was known. */
    Optional<String> regionOf(String host) {
        return Optional.ofNullable(regionsByAddress.get(PeerNetwork.addressOf(host)));
    }

    /** Returns the region of a host with the given name or peer address if it is known to be another one. */
    Optional<String> otherRegionOf(String host) {
        return regionOf(host).filter(region -> !region.equals(place.region()));
    }
}
