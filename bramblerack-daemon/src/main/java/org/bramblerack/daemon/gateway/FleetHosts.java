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
 * The hosts that the replicated tables list.
 *
 * <p>Invariant: a host that has left is no longer listed, but its region stays known, since messages to it may still be
 * in flight. Owned by the event loop; only {@link #regionOf} and {@link #otherRegionOf} are thread-safe.
 */
final class FleetHosts {
    private final HostLocation location;
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private final Map<String, String> regionsByAddress = new ConcurrentHashMap<>();

    FleetHosts(HostLocation location) {
        this.location = location;
    }

    /**
     * Applies a change of the tables.
     *
     * @return true if the entry hosts changed
     */
    boolean apply(TableDelta delta) {
        ImmutableList<HostRecord> before = entryHosts();
        if (delta.getWhole()) {
            hosts.clear();
        }
        delta.getHostsList().forEach(this::apply);
        return !before.equals(entryHosts());
    }

    /** Returns true if a change, which has not been applied, removes the host with a peer address. */
    boolean removes(TableDelta delta, String peerAddress) {
        boolean isListed =
                hosts.values().stream().anyMatch(host -> host.getPeerAddress().equals(peerAddress));
        return delta.getHostsList().stream()
                .filter(host -> host.getPeerAddress().equals(peerAddress))
                .map(host -> host.getPhase() == HostRecord.Phase.GONE)
                .findFirst()
                .orElse(delta.getWhole() && isListed);
    }

    private void apply(HostRecord host) {
        if (host.getPhase() == HostRecord.Phase.GONE) {
            hosts.remove(host.getName());
        } else {
            hosts.put(host.getName(), host);
            regionsByAddress.put(host.getPeerAddress(), host.getRegion());
        }
    }

    /** Returns the hosts that accept requests from callers. */
    ImmutableList<HostRecord> entryHosts() {
        return hosts.values().stream()
                .filter(host -> host.getEntry() && host.getPhase() == HostRecord.Phase.READY)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the peer addresses of the control hosts, nearest first. */
    ImmutableList<String> controlAddresses() {
        return hosts.values().stream()
                .filter(host -> !host.getControlAddress().isEmpty() && host.getPhase() == HostRecord.Phase.READY)
                .sorted(Comparator.comparing(host -> location.distanceTo(host.getZone())))
                .map(HostRecord::getPeerAddress)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the region of a host, given by name or peer address, if the host is or was known. */
    Optional<String> regionOf(String host) {
        return Optional.ofNullable(regionsByAddress.get(PeerNetwork.addressOf(host)));
    }

    /** Returns the region of a host, given by name or peer address, if it is known to differ from this host's. */
    Optional<String> otherRegionOf(String host) {
        return regionOf(host).filter(region -> !region.equals(location.region()));
    }
}
