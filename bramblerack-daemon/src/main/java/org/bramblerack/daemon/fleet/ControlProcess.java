package org.bramblerack.daemon.fleet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.lang.System.Logger;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.DiskFault;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.wire.HostRecord;

/**
 * A process of the control role: wires its parts together, starts and stops them.
 *
 * <p>Started once, stopped once.
 */
public final class ControlProcess {
    private static final Logger LOGGER = System.getLogger(ControlProcess.class.getName());
    private static final long SHARE_HEARD_MILLIS = 1_000;

    private final ControlSettings settings;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final PeerNetwork network;
    private final FileLogStore store;
    private final ControlNode node;
    private final FleetControl fleet;
    private final PeerServer peers;
    private final long incarnation;

    /**
     * Creates a process that does nothing yet.
     *
     * @param incarnation tells this start of the host from others
     */
    public ControlProcess(ControlSettings settings, MonotonicClock clock, RandomGenerator random, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
        String self = settings.peerAddress().toString();
        PeerTraffic traffic = new PeerTraffic();
        this.network = PeerNetwork.byAddress(self, group, LinkPolicy.OPEN, traffic);
        this.store = new FileLogStore(settings.dataFolder());
        this.node = new ControlNode(self, settings.seeds(), RaftTimings.DEFAULT, store, network, clock, random);
        ControlClient client = new ControlClient(self, settings.seeds(), Optional.of(node), network, clock);
        this.fleet = new FleetControl(node, client, network);
        this.peers = new PeerServer(
                settings.peerAddress(), new ControlPeers(node, fleet, clock), group, LinkPolicy.OPEN, traffic);
    }

    /**
     * Reads what was stored, listens, and takes part in the agreement.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     * @throws DiskFault if what was stored cannot be trusted
     */
    public void start() throws InterruptedException, DiskFault {
        if (settings.firstStart() && !store.exists()) {
            store.initialize();
        }
        peers.start();
        node.start();
        group.next()
                .scheduleWithFixedDelay(
                        this::everySecond, SHARE_HEARD_MILLIS, SHARE_HEARD_MILLIS, TimeUnit.MILLISECONDS);
        LOGGER.log(Logger.Level.INFO, "control host {0} takes part at {1}", settings.name(), settings.peerAddress());
    }

    /** Returns what it does for leafs and operators. */
    public FleetControl fleet() {
        return fleet;
    }

    /** Returns the event loop, for listeners that share it. */
    public EventLoopGroup eventLoop() {
        return group;
    }

    /** Stops taking part. */
    public void stop() {
        LOGGER.log(Logger.Level.INFO, "control host {0} stops", settings.name());
        node.stop();
        peers.stop();
        network.stop();
    }

    private void everySecond() {
        fleet.shareHeard(self());
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
