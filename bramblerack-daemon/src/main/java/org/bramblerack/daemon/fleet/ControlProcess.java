package org.bramblerack.daemon.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.DiskFault;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.control.VoterIdentity;
import org.bramblerack.daemon.event.CounterSummary;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.process.agreement.VoterName;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.JoinRequest;

/**
 * A process with the control role: creates, starts and stops its parts.
 *
 * <p>Started once and stopped once.
 */
public final class ControlProcess {
    private static final EventLog EVENTS = EventLog.of(ControlProcess.class);
    private static final long REPORT_CONTACTS_INTERVAL_MILLIS = 1_000;
    private static final long JOIN_RETRY_INTERVAL_MILLIS = 300;
    private static final long LOG_COUNTERS_INTERVAL_MILLIS = 10_000;
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 10;
    /** How long a stopping host accepts calls at most. */
    private static final Duration MAX_ACCEPT = Duration.ofSeconds(1);
    /** How long the calls in flight may take after that; longer than the time limit of every call. */
    private static final Duration MAX_DRAIN = Duration.ofSeconds(1);
    /** How long the refusals of calls that are still in flight may take to be written. */
    private static final Duration TIME_TO_REFUSE = Duration.ofMillis(200);

    private final ControlSettings settings;
    private final MetricRegistry metrics;
    private final MonotonicClock clock;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final VoterIdentity identity;
    private final PeerNetwork network;
    private final FileLogStore store;
    private final ControlNode node;
    private final FleetControl fleet;
    private final ControlPeers peerHandler;
    private final PeerServer peers;
    private final HostIncarnation incarnation;
    private volatile ImmutableSortedSet<String> seeds;
    private volatile Runnable onRoleEnded = () -> {};
    private volatile boolean stopping;

    /**
     * Creates a process that has loaded or created its identity and does nothing else yet.
     *
     * @param incarnation distinguishes this start of the host from others
     * @throws DiskFault if its data folder cannot be used
     */
    public ControlProcess(
            ControlSettings settings,
            MetricRegistry metrics,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random,
            long incarnation)
            throws DiskFault {
        this.settings = settings;
        this.metrics = metrics;
        this.clock = clock;
        this.seeds = settings.seeds();
        this.incarnation = new HostIncarnation(settings.name(), incarnation);
        this.identity = VoterIdentity.loadOrStore(settings.dataFolder(), newIdentity(settings, random));
        PeerTraffic traffic = new PeerTraffic(metrics, this::isInOtherRegion);
        this.network = PeerNetwork.byAddress(identity.name(), group, LinkPolicy.OPEN, traffic);
        this.store = new FileLogStore(settings.dataFolder());
        this.node = new ControlNode(
                identity.name(),
                identity.initialVoters(),
                settings.tolerableFailures(),
                RaftTimings.DEFAULT,
                store,
                network,
                clock,
                wallClock,
                random);
        ControlClient client = new ControlClient(identity.name(), settings.seeds(), Optional.of(node), network, clock);
        this.fleet = new FleetControl(settings.name(), node, client, network, metrics, clock, wallClock);
        this.peerHandler = new ControlPeers(node, fleet, network, clock);
        this.peers = new PeerServer(settings.peerAddress(), peerHandler, group, LinkPolicy.OPEN, traffic);
    }

    /**
     * Loads the stored state, listens, and joins the cluster.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     * @throws DiskFault if the stored state is corrupt or cannot be read
     */
    public void start() throws InterruptedException, DiskFault {
        if (!store.exists()) {
            store.initialize();
        }
        peers.start();
        node.start();
        group.next()
                .scheduleWithFixedDelay(
                        this::reportContactsOrEnd,
                        REPORT_CONTACTS_INTERVAL_MILLIS,
                        REPORT_CONTACTS_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        group.next()
                .scheduleWithFixedDelay(
                        this::requestToJoinIfNeeded,
                        JOIN_RETRY_INTERVAL_MILLIS,
                        JOIN_RETRY_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        group.next()
                .scheduleWithFixedDelay(
                        this::logCounters,
                        LOG_COUNTERS_INTERVAL_MILLIS,
                        LOG_COUNTERS_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
        EVENTS.info("started")
                .with("host", settings.name())
                .with("voter", identity.name())
                .write();
    }

    /**
     * Returns the identity for an empty disk. At the first start of the cluster its seeds are the initial voters; every
     * other host has to join them.
     */
    private static VoterIdentity newIdentity(ControlSettings settings, RandomGenerator random) {
        String address = settings.peerAddress().toString();
        if (settings.firstStart() && settings.seeds().contains(address)) {
            return new VoterIdentity(address, settings.seeds());
        }
        return new VoterIdentity(VoterName.generate(address, random), ImmutableSortedSet.of());
    }

    /** Requests replication and, later, a vote from the known control hosts while this host is not up to date. */
    private void requestToJoinIfNeeded() {
        if (node.isUpToDate()) {
            return;
        }
        ImmutableSet.<String>builder()
                .addAll(seeds)
                .addAll(node.voters())
                .addAll(fleet.knownControlHosts())
                .build()
                .stream()
                .filter(host -> !host.equals(settings.peerAddress().toString()) && !host.equals(identity.name()))
                .forEach(host -> network.send(
                        host,
                        Envelope.newBuilder()
                                .setJoinRequest(JoinRequest.newBuilder().setVoter(identity.name()))));
    }

    /** Returns the service for leaves, operators and entry hosts. */
    public FleetControl fleet() {
        return fleet;
    }

    /** Applies the settings that may change while the process runs, which are the seeds. */
    public void reload(ControlSettings changed) {
        seeds = changed.seeds();
        EVENTS.info("settings_reloaded")
                .with("host", settings.name())
                .with("seeds", String.join(" ", changed.seeds()))
                .write();
    }

    /** Returns the event loop, so that listeners can share it. */
    public EventLoopGroup eventLoop() {
        return group;
    }

    /** Sets the task to run if the role ends because a committed command cannot be parsed. */
    public void onRoleEnded(Runnable task) {
        onRoleEnded = task;
    }

    /**
     * Stops the process after the calls of leaves, operators and other hosts in progress have been answered, for which
     * it waits for a limited time. Calls that arrive when there is no time left for them are refused at once.
     *
     * @param calls receives the calls of leaves and operators
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void stop(HttpListener calls) throws InterruptedException {
        calls.drain(MAX_ACCEPT);
        calls.refuseNew();
        long deadlineNanos = clock.nowNanos() + MAX_DRAIN.toNanos();
        calls.drain(MAX_DRAIN);
        while (peerHandler.proposalsInFlight() > 0 && clock.nowNanos() - deadlineNanos < 0) {
            Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
        }
        peerHandler.endProposals();
        calls.endRequests();
        calls.drain(TIME_TO_REFUSE);
        stop();
    }

    /** Stops the role, the listener and the connections at once. */
    public void stop() {
        stopping = true;
        EVENTS.info("stopping").with("host", settings.name()).write();
        node.stop();
        peers.stop();
        network.stop();
    }

    private void reportContactsOrEnd() {
        if (!stopping && !node.isRunning()) {
            // A committed command cannot be parsed; only another release of the program can continue from there.
            EVENTS.warning("role_ended").with("host", settings.name()).write();
            onRoleEnded.run();
            return;
        }
        fleet.reportContacts(hostRecord(), incarnation::renew);
    }

    private void logCounters() {
        EVENTS.info("counters").with("counters", CounterSummary.of(metrics)).write();
    }

    private boolean isInOtherRegion(String host) {
        return fleet != null && fleet.isInOtherRegion(PeerNetwork.addressOf(host));
    }

    private HostRecord hostRecord() {
        return HostRecord.newBuilder()
                .setName(settings.name())
                .setPeerAddress(settings.peerAddress().toString())
                .setZone(settings.zone())
                .setRegion(settings.region())
                .setControlAddress(settings.controlAddress().toString())
                .setIncarnation(incarnation.number())
                .setPhase(HostRecord.Phase.READY)
                .build();
    }
}
