package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that connections are opened ahead of use once per new leaf, not at every change of the tables. */
final class FleetViewTest {
    /** Longer than the maximum delay of a connection review. */
    private static final long REVIEW_MILLIS = 2_300;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aConnectionThatTheLeafClosedIsNotReopenedAheadOfUse() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket leaf = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> closeAtOnce(leaf, accepted), "leaf");
            thread.setDaemon(true);
            thread.start();
            FleetView view = GatewayFixture.view(group, MonotonicClock.system());
            apply(view, tables(leaf.getLocalPort()), Optional.of(configuration()));
            Thread.sleep(REVIEW_MILLIS);
            assertThat(accepted.get()).isEqualTo(1);
            apply(view, anotherHost(), Optional.empty());
            Thread.sleep(REVIEW_MILLIS);
            assertThat(accepted.get()).isEqualTo(1);
        }
    }

    /** Guards against a host that was removed while it runs never being listed again. */
    @Test
    void theRemovalOfThisHostIsNoticed() throws Exception {
        FleetView view = GatewayFixture.view(group, MonotonicClock.system());
        AtomicInteger removals = new AtomicInteger();
        view.onSelfRemoved(removals::incrementAndGet);
        HostRecord self = host("127.0.0.1:1");
        HostRecord other = host("127.0.0.1:2");
        apply(
                view,
                TableDelta.newBuilder()
                        .setRevision(1)
                        .setWhole(true)
                        .addHosts(other)
                        .build(),
                Optional.empty());
        apply(view, TableDelta.newBuilder().setRevision(2).addHosts(self).build(), Optional.empty());
        apply(view, TableDelta.newBuilder().setRevision(3).addHosts(gone(other)).build(), Optional.empty());
        assertThat(removals.get()).isEqualTo(0);
        apply(view, TableDelta.newBuilder().setRevision(4).addHosts(gone(self)).build(), Optional.empty());
        assertThat(removals.get()).isEqualTo(1);
        apply(view, TableDelta.newBuilder().setRevision(5).addHosts(self).build(), Optional.empty());
        apply(
                view,
                TableDelta.newBuilder()
                        .setRevision(6)
                        .setWhole(true)
                        .addHosts(other)
                        .build(),
                Optional.empty());
        assertThat(removals.get()).isEqualTo(2);
    }

    private static HostRecord gone(HostRecord host) {
        return host.toBuilder().setPhase(HostRecord.Phase.GONE).build();
    }

    private void apply(FleetView view, TableDelta delta, Optional<RoutingConfiguration> newer) throws Exception {
        group.submit(() -> view.apply(delta, newer)).get();
    }

    private static TableDelta tables(int port) {
        return TableDelta.newBuilder()
                .setRevision(1)
                .setWhole(true)
                .addHosts(host("127.0.0.1:1"))
                .addLeaves(LeafRecord.newBuilder()
                        .setId("i-1")
                        .setService("s")
                        .setAddress("127.0.0.1:" + port)
                        .setZone("z")
                        .setSlots(2)
                        .setPhase(LeafRecord.Phase.READY))
                .build();
    }

    private static TableDelta anotherHost() {
        return TableDelta.newBuilder()
                .setRevision(2)
                .addHosts(host("127.0.0.1:2"))
                .build();
    }

    private static HostRecord host(String address) {
        return HostRecord.newBuilder()
                .setName(address)
                .setPeerAddress(address)
                .setZone("z")
                .setRegion("r")
                .setEntry(true)
                .setPhase(HostRecord.Phase.READY)
                .build();
    }

    private static RoutingConfiguration configuration() {
        Duration time = Duration.ofSeconds(1);
        Route route = new Route(
                "r",
                "h",
                "/",
                RequestKind.IDEMPOTENT,
                time,
                time,
                0,
                2,
                new RouteTarget.Scatter(ImmutableList.of("s"), 5, 0.5));
        return RoutingConfiguration.create(
                1,
                ImmutableList.of(route),
                ImmutableMap.of("s", new LeafService("s", "/health", 26)),
                RequestLimits.DEFAULT);
    }

    private static void closeAtOnce(ServerSocket server, AtomicInteger accepted) {
        try {
            while (true) {
                server.accept().close();
                accepted.incrementAndGet();
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }
}
