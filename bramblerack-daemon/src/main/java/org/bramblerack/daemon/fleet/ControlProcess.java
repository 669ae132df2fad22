package org.bramblerack.daemon.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
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
 * A process of the control role: wires its parts together, starts and stops them.
 *
 * <p>Started once, stopped once.
 */
public final class ControlProcess {
    private static final EventLog EVENTS = EventLog.of(ControlProcess.class);
    private static final long SHARE_HEARD_MILLIS = 1_000;
    private static final long JOIN_MILLIS = 300;
    private static final long SUMMARY_MILLIS = 10_000;

    private final ControlSettings settings;
    private final MetricRegistry metrics;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final VoterIdentity identity;
    private final PeerNetwork network;
    private final FileLogStore store;
    private final ControlNode node;
    private final FleetControl fleet;
    private final PeerServer peers;
    private final long incarnation;
    private volatile ImmutableSortedSet<String> seeds;
    private volatile Runnable onRoleEnded = () -> {};
    private volatile boolean stopping;

    /**
     * Creates a process that does nothing yet but to find out who it is.
     *
     * @param incarnation tells this start of the host from others
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
        this.seeds = settings.seeds();
        this.incarnation = incarnation;
        this.identity = VoterIdentity.loadOrStore(settings.dataFolder(), freshIdentity(settings, random));
        PeerTraffic traffic = new PeerTraffic(metrics, this::isElsewhere);
        this.network = PeerNetwork.byAddress(identity.name(), group, LinkPolicy.OPEN, traffic);
        this.store = new FileLogStore(settings.dataFolder());
        this.node = new ControlNode(
                identity.name(),
                identity.firstVoters(),
                settings.lossesBorne(),
                RaftTimings.DEFAULT,
                store,
                network,
                clock,
                wallClock,
                random);
        ControlClient client = new ControlClient(identity.name(), settings.seeds(), Optional.of(node), network, clock);
        this.fleet = new FleetControl(node, client, network, metrics, wallClock);
        this.peers = new PeerServer(
                settings.peerAddress(), new ControlPeers(node, fleet, network, clock), group, LinkPolicy.OPEN, traffic);
    }

    /**
     * Reads what was stored, listens, and takes part in the agreement.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     * @throws DiskFault if what was stored cannot be trusted
     */
    public void start() throws InterruptedException, DiskFault {
        if (!store.exists()) {
            store.initialize();
        }
        peers.start();
        node.start();
        group.next()
                .scheduleWithFixedDelay(
                        this::everySecond, SHARE_HEARD_MILLIS, SHARE_HEARD_MILLIS, TimeUnit.MILLISECONDS);
        group.next().scheduleWithFixedDelay(this::joinIfAlone, JOIN_MILLIS, JOIN_MILLIS, TimeUnit.MILLISECONDS);
        group.next().scheduleWithFixedDelay(this::logCounters, SUMMARY_MILLIS, SUMMARY_MILLIS, TimeUnit.MILLISECONDS);
        EVENTS.info("started")
                .with("host", settings.name())
                .with("voter", identity.name())
                .write();
    }

    /** The seeds of a first start are the first voters; every other host with an empty disk has to join them. */
    private static VoterIdentity freshIdentity(ControlSettings settings, RandomGenerator random) {
        String address = settings.peerAddress().toString();
        if (settings.firstStart() && settings.seeds().contains(address)) {
            return new VoterIdentity(address, settings.seeds());
        }
        return new VoterIdentity(VoterName.generate(address, random), ImmutableSortedSet.of());
    }

    /** Asks to be sent the log, and to vote in time, as long as no leader does so. */
    private void joinIfAlone() {
        if (node.isInTouch()) {
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

    /** Returns what it does for leafs and operators. */
    public FleetControl fleet() {
        return fleet;
    }

    /** Takes over from changed settings what may change while the process runs: the seeds. */
    public void reload(ControlSettings changed) {
        seeds = changed.seeds();
        EVENTS.info("settings_reloaded")
                .with("host", settings.name())
                .with("seeds", String.join(" ", changed.seeds()))
                .write();
    }

    /** Returns the event loop, for listeners that share it. */
    public EventLoopGroup eventLoop() {
        return group;
    }

    /** Sets what to do if the role ends by itself, because an agreed command cannot be read. */
    public void onRoleEnded(Runnable task) {
        onRoleEnded = task;
    }

    /** Stops taking part. */
    public void stop() {
        stopping = true;
        EVENTS.info("stopping").with("host", settings.name()).write();
        node.stop();
        peers.stop();
        network.stop();
    }

    private void everySecond() {
        if (!stopping && !node.isRunning()) {
            // An agreed command cannot be read: only another version of the program can go on from there.
            EVENTS.warning("role_ended").with("host", settings.name()).write();
            onRoleEnded.run();
            return;
        }
        fleet.shareHeard(self());
    }

    private void logCounters() {
        EVENTS.info("counters").with("counters", CounterSummary.of(metrics)).write();
    }

    private boolean isElsewhere(String host) {
        return fleet != null && fleet.isElsewhere(PeerNetwork.addressOf(host));
    }

    private HostRecord self() {
        return HostRecord.newBuilder()
                .setName(settings.name())
                .setPeerAddress(settings.peerAddress().toString())
                .setZone(settings.zone())
                .setRegion(settings.region())
                .setControlAddress(settings.controlAddress().toString())
                .setIncarnation(incarnation)
                .setPhase(HostRecord.Phase.READY)
                .build();
    }
}
