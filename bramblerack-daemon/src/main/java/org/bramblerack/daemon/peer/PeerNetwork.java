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
 * <p>The hosts are either listed when the network is created, or resolved by their addresses when they are needed. Safe
 * for use by many threads.
 */
public final class PeerNetwork {
    /** Separates the address in a host's name from the suffix that distinguishes hosts with the same address. */
    public static final char TAG_SEPARATOR = '#';

    private final String self;
    private final EventLoopGroup group;
    private final LinkPolicy linkPolicy;
    private final PeerTraffic traffic;
    private final boolean resolvesByAddress;
    private final ScheduledFuture<?> probeTask;
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();

    /**
     * Creates the network; connections are opened when they are needed.
     *
     * @param self this host's name
     * @param hosts all hosts
     */
    public PeerNetwork(
            String self,
            ImmutableList<HostEntry> hosts,
            EventLoopGroup group,
            LinkPolicy linkPolicy,
            PeerTraffic traffic) {
        this(self, false, group, linkPolicy, traffic);
        for (HostEntry host : hosts) {
            if (!host.name().equals(self)) {
                connections.put(host.name(), new PeerConnection(self, host, group, linkPolicy, traffic));
            }
        }
    }

    private PeerNetwork(
            String self, boolean resolvesByAddress, EventLoopGroup group, LinkPolicy linkPolicy, PeerTraffic traffic) {
        this.self = self;
        this.resolvesByAddress = resolvesByAddress;
        this.group = group;
        this.linkPolicy = linkPolicy;
        this.traffic = traffic;
        long periodNanos = PeerConnection.PROBE_PERIOD.toNanos();
        // One task for all connections, as a task for each would wake the host far more often.
        this.probeTask =
                group.next().scheduleWithFixedDelay(this::probeAll, periodNanos, periodNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Creates a network in which a host's name is its peer address, so that hosts need not be configured. The part of a
     * name from {@link #TAG_SEPARATOR} on does not belong to the address.
     */
    public static PeerNetwork byAddress(String self, EventLoopGroup group, LinkPolicy linkPolicy, PeerTraffic traffic) {
        return new PeerNetwork(self, true, group, linkPolicy, traffic);
    }

    /** Returns the address part of a host's name. */
    public static String addressOf(String host) {
        int tag = host.indexOf(TAG_SEPARATOR);
        return tag < 0 ? host : host.substring(0, tag);
    }

    /** Returns the names of the other hosts that are known. */
    public ImmutableList<String> others() {
        return ImmutableList.copyOf(connections.keySet());
    }

    /** Sends a message without a reply, which may be lost. */
    public void send(String host, Envelope.Builder message) {
        getOrCreate(host).ifPresent(connection -> connection.send(message));
    }

    /**
     * Sends a message that expects a reply.
     *
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> request(String host, Envelope.Builder message, Duration timeout) {
        return request(host, message, timeout, progress -> {});
    }

    /**
     * Sends a message that expects a reply.
     *
     * @param progress gets the progress messages that arrive before the reply
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> request(String host, Envelope.Builder message, Duration timeout, Consumer<Envelope> progress) {
        Optional<PeerConnection> connection = getOrCreate(host);
        if (connection.isEmpty()) {
            return unknownHost(host);
        }
        return connection.get().request(message, timeout, progress);
    }

    /**
     * Sends a message that expects a reply; waits briefly for a connection that is being opened.
     *
     * @param message builds the message when it is sent, so that the remaining times in it are correct
     * @param progress gets the progress messages that arrive before the reply
     * @return the reply, or a {@link PeerFailure}
     */
    public Uni<Envelope> requestWhenConnected(
            String host, Supplier<Envelope.Builder> message, Duration timeout, Consumer<Envelope> progress) {
        Optional<PeerConnection> connection = getOrCreate(host);
        if (connection.isEmpty()) {
            return unknownHost(host);
        }
        return connection.get().requestWhenConnected(message, timeout, progress);
    }

    /** Closes the connection to a host that is gone; it is reopened if it is needed again. */
    public void disconnect(String host) {
        if (resolvesByAddress) {
            Optional.ofNullable(connections.remove(host)).ifPresent(PeerConnection::close);
        }
    }

    /** Closes every connection; pending requests fail. */
    public void stop() {
        probeTask.cancel(false);
        connections.values().forEach(PeerConnection::close);
    }

    private void probeAll() {
        connections.values().forEach(PeerConnection::probe);
    }

    private static Uni<Envelope> unknownHost(String host) {
        return Uni.createFrom().failure(new PeerFailure(PeerFailure.Kind.NOT_SENT, host + " is not a known host"));
    }

    private Optional<PeerConnection> getOrCreate(String host) {
        PeerConnection connection = connections.get(host);
        if (connection != null || !resolvesByAddress || host.equals(self) || host.isEmpty()) {
            return Optional.ofNullable(connection);
        }
        return Optional.of(connections.computeIfAbsent(host, this::create));
    }

    private PeerConnection create(String host) {
        HostAndPort address = HostAndPort.fromString(addressOf(host));
        return new PeerConnection(self, new HostEntry(host, "", address, false), group, linkPolicy, traffic);
    }
}
