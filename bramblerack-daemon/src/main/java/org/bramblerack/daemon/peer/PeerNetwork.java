package org.bramblerack.daemon.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramblerack.daemon.settings.HostEntry;
import org.bramblerack.wire.Envelope;

/**
 * The connections of this host to all others.
 *
 * <p>The hosts are either listed when the network is created, or found by their addresses as they are needed. Safe for
 * use by many threads.
 */
public final class PeerNetwork {
    /** Separates the address in a host's name from what tells apart several hosts that had it. */
    public static final char TAG = '#';

    private final String self;
    private final EventLoopGroup group;
    private final LinkPolicy links;
    private final PeerTraffic traffic;
    private final boolean findsByAddress;
    private final ScheduledFuture<?> probing;
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

    /**
     * Creates the network; connections are made as they are needed.
     *
     * @param self this host's name
     * @param hosts all hosts
     */
    public PeerNetwork(
            String self, ImmutableList<HostEntry> hosts, EventLoopGroup group, LinkPolicy links, PeerTraffic traffic) {
        this(self, false, group, links, traffic);
        for (HostEntry host : hosts) {
            if (!host.name().equals(self)) {
                connections.put(host.name(), new PeerConnection(self, host, group, links, traffic));
            }
        }
    }

    private PeerNetwork(
            String self, boolean findsByAddress, EventLoopGroup group, LinkPolicy links, PeerTraffic traffic) {
        this.self = self;
        this.findsByAddress = findsByAddress;
        this.group = group;
        this.links = links;
        this.traffic = traffic;
        long periodNanos = PeerConnection.PROBE_PERIOD.toNanos();
        // One task for all connections: each with its own would wake a host with dozens of them all the time.
        this.probing =
                group.next().scheduleWithFixedDelay(this::probeAll, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Creates a network in which a host's name is the address that it listens at for other hosts, so that hosts need
     * not be known beforehand. What follows a {@link #TAG} in a name is not part of the address.
     */
    public static PeerNetwork byAddress(String self, EventLoopGroup group, LinkPolicy links, PeerTraffic traffic) {
        return new PeerNetwork(self, true, group, links, traffic);
    }

    /** Returns the address that a host's name is or begins with. */
    public static String addressOf(String host) {
        int tag = host.indexOf(TAG);
        return tag < 0 ? host : host.substring(0, tag);
    }

    /** Returns the names of the other hosts, as far as they are known. */
    public ImmutableList<String> others() {
        return ImmutableList.copyOf(connections.keySet());
    }

    /** Sends a message that asks for no reply; it may be lost. */
    public void send(String host, Envelope.Builder message) {
        find(host).ifPresent(connection -> connection.send(message));
    }

    /**
     * Sends a message that asks for a reply.
     *
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> request(String host, Envelope.Builder message, Duration timeout) {
        return request(host, message, timeout, progress -> {});
    }

    /**
     * Sends a message that asks for a reply.
     *
     * @param progress takes what the other host says of its progress before the reply
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> request(String host, Envelope.Builder message, Duration timeout, Consumer<Envelope> progress) {
        Optional<PeerConnection> connection = find(host);
        if (connection.isEmpty()) {
            return notKnown(host);
        }
        return connection.get().request(message, timeout, progress);
    }

    /**
     * Sends a message that asks for a reply, after a moment if the connection is just being made.
     *
     * @param message makes the message when it is sent, so that the times in it are those of then
     * @param progress takes what the other host says of its progress before the reply
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> requestWhenConnected(
            String host, Supplier<Envelope.Builder> message, Duration timeout, Consumer<Envelope> progress) {
        Optional<PeerConnection> connection = find(host);
        if (connection.isEmpty()) {
            return notKnown(host);
        }
        return connection.get().requestWhenConnected(message, timeout, progress);
    }

    /** Closes the connection to a host that is gone; it is made again if it is needed after all. */
    public void disconnect(String host) {
        if (findsByAddress) {
            Optional.ofNullable(connections.remove(host)).ifPresent(PeerConnection::close);
        }
    }

    /** Closes every connection; requests in flight fail. */
    public void stop() {
        probing.cancel(false);
        connections.values().forEach(PeerConnection::close);
    }

    private void probeAll() {
        connections.values().forEach(PeerConnection::probe);
    }

    private static Uni<Envelope> notKnown(String host) {
        return Uni.createFrom().failure(new PeerFailure(PeerFailure.Kind.NOT_SENT, host + " is not a known host"));
    }

    private Optional<PeerConnection> find(String host) {
        PeerConnection known = connections.get(host);
        if (known != null || !findsByAddress || host.equals(self) || host.isEmpty()) {
            return Optional.ofNullable(known);
        }
        return Optional.of(connections.computeIfAbsent(host, this::create));
    }

    private PeerConnection create(String host) {
        HostAndPort address = HostAndPort.fromString(addressOf(host));
        return new PeerConnection(self, new HostEntry(host, "", address, false), group, links, traffic);
    }
}
