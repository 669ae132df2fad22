package org.bramblerack.daemon.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.DiskFault;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.control.LogStore;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.agreement.RaftAction;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.process.agreement.StoredState;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TablePull;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a leader that its disk has stalled removing hosts that the other control hosts hear from. */
final class StalledLeaderTest {
    private static final Duration WAIT = Duration.ofSeconds(20);
    /** Longer than the silence after which a host is removed, and than an election. */
    private static final Duration STALL = Duration.ofSeconds(9);

    private static final Duration CONTACT_INTERVAL = Duration.ofMillis(500);
    private static final int CONTROL_HOSTS = 3;
    private static final HostRecord ENTRY_HOST = HostRecord.newBuilder()
            .setName("entry")
            .setPeerAddress("127.0.0.1:1")
            .setEntry(true)
            .setIncarnation(7)
            .setPhase(HostRecord.Phase.READY)
            .build();

    private final List<ControlHost> hosts = new ArrayList<>();

    @BeforeEach
    void start(@TempDir Path folder) throws Exception {
        ImmutableList.Builder<HostAndPort> addresses = ImmutableList.builder();
        for (int number = 0; number < CONTROL_HOSTS; number++) {
            addresses.add(HostAndPort.fromParts("127.0.0.1", freePort()));
        }
        ImmutableList<HostAndPort> all = addresses.build();
        for (HostAndPort address : all) {
            ControlHost host = new ControlHost(address, all, folder.resolve("port-" + address.getPort()));
            hosts.add(host);
            host.start();
        }
    }

    @AfterEach
    void stop() {
        hosts.forEach(ControlHost::stop);
    }

    @Test
    void aStalledLeaderRemovesNobodyWhenItContinues() throws Exception {
        await(() -> hosts.stream().anyMatch(host -> host.node.isLeader()));
        ControlHost leader =
                hosts.stream().filter(host -> host.node.isLeader()).findFirst().orElseThrow();
        List<ControlHost> others = hosts.stream().filter(host -> host != leader).toList();
        await(() -> {
            hosts.forEach(ControlHost::pull);
            return others.stream().allMatch(ControlHost::listsEntryHost);
        });
        // The leader has processed the contacts by then, so that the stall keeps none of them.
        contactFor(Duration.ofSeconds(1), others);
        leader.disk.lock();
        try {
            contactFor(STALL, others);
            assertThat(others.stream().anyMatch(host -> host.node.isLeader())).isTrue();
        } finally {
            leader.disk.unlock();
        }
        contactFor(Duration.ofSeconds(3), others);
        assertThat(others.stream().allMatch(ControlHost::listsEntryHost)).isTrue();
    }

    private static void contactFor(Duration time, List<ControlHost> others) throws InterruptedException {
        long endNanos = System.nanoTime() + time.toNanos();
        while (System.nanoTime() - endNanos < 0) {
            others.forEach(ControlHost::pull);
            Thread.sleep(CONTACT_INTERVAL.toMillis());
            others.forEach(host -> assertWithMessage("lists the entry host")
                    .that(host.listsEntryHost())
                    .isTrue());
        }
    }

    private static void await(Condition condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + WAIT.toNanos();
        while (!condition.holds()) {
            assertWithMessage("holds in time")
                    .that(System.nanoTime() < deadlineNanos)
                    .isTrue();
            Thread.sleep(50);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** A condition that is polled until it holds. */
    @FunctionalInterface
    private interface Condition {
        boolean holds();
    }

    /** A control host whose disk stalls while the test holds the lock. */
    private static final class ControlHost {
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final ReentrantLock disk = new ReentrantLock();
        private final String name;
        private final FileLogStore store;
        private final PeerNetwork network;
        private final ControlNode node;
        private final FleetControl fleet;
        private final PeerServer peers;

        ControlHost(HostAndPort address, ImmutableList<HostAndPort> all, Path folder) {
            MonotonicClock clock = MonotonicClock.system();
            ImmutableSortedSet<String> voters = all.stream()
                    .map(HostAndPort::toString)
                    .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
            name = address.toString();
            PeerTraffic traffic = new PeerTraffic();
            network = PeerNetwork.byAddress(name, group, LinkPolicy.OPEN, traffic);
            store = new FileLogStore(folder);
            node = new ControlNode(
                    name,
                    voters,
                    1,
                    RaftTimings.DEFAULT,
                    new StallingStore(store, disk),
                    network,
                    clock,
                    InstantSource.system(),
                    new SplittableRandom(address.getPort()));
            ControlClient client = new ControlClient(name, voters, Optional.of(node), network, clock);
            fleet = new FleetControl(name, node, client, network, new MetricRegistry(), clock, InstantSource.system());
            peers = new PeerServer(
                    address, new ControlPeers(node, fleet, network, clock), group, LinkPolicy.OPEN, traffic);
        }

        void start() throws DiskFault, InterruptedException {
            store.initialize();
            peers.start();
            node.start();
            HostRecord own = HostRecord.newBuilder()
                    .setName(name)
                    .setPeerAddress(name)
                    .setControlAddress(name)
                    .setIncarnation(1)
                    .setPhase(HostRecord.Phase.READY)
                    .build();
            group.next()
                    .scheduleWithFixedDelay(() -> fleet.reportContacts(own, revision -> {}), 1, 1, TimeUnit.SECONDS);
        }

        /** Requests changes as the entry host does, and does not wait for them. */
        void pull() {
            TablePull pull = TablePull.newBuilder().setSelf(ENTRY_HOST).build();
            fleet.pull(pull).subscribe().with(delta -> {}, failure -> {});
        }

        boolean listsEntryHost() {
            return node.withTables((tables, upToDate, nowNanos) -> tables.presentHosts().stream()
                            .anyMatch(host -> host.getName().equals(ENTRY_HOST.getName())))
                    .await()
                    .atMost(WAIT);
        }

        void stop() {
            node.stop();
            peers.stop();
            network.stop();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private record StallingStore(LogStore store, ReentrantLock disk) implements LogStore {
        @Override
        public StoredState load() throws DiskFault {
            return store.load();
        }

        @Override
        public void store(List<RaftAction> actions) throws DiskFault {
            disk.lock();
            try {
                store.store(actions);
            } finally {
                disk.unlock();
            }
        }

        @Override
        public long logBytes() {
            return store.logBytes();
        }

        @Override
        public boolean isNearlyFull() {
            return store.isNearlyFull();
        }

        @Override
        public void close() {
            store.close();
        }
    }
}
