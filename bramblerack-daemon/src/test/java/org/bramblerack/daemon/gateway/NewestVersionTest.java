package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.VersionQueryResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refusing a caller's key as unknown without a leader's confirmation of the newest version. */
final class NewestVersionTest {
    private static final long WAIT_MILLIS = 3_000;
    private static final long QUIET_MILLIS = 200;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final PeerNetwork network = PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic());
    private final BlockingQueue<Consumer<Envelope.Builder>> queries = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> answers = new LinkedBlockingQueue<>();
    private final FleetView view = GatewayFixture.view(group, MonotonicClock.system());
    private volatile boolean current = true;
    private PeerServer control;
    private NewestVersion newest;

    @BeforeEach
    void start() throws Exception {
        HostAndPort address;
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
        control = new PeerServer(address, this::handle, group, LinkPolicy.OPEN, new PeerTraffic());
        control.start();
        newest = new NewestVersion(() -> current, view, network, address::toString, group.next());
        apply(7);
    }

    @AfterEach
    void stop() {
        control.stop();
        network.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void theVersionInForceIsTheNewestIfALeaderConfirmsIt() throws Exception {
        assertThat(confirmWithReply(result(true, 7))).isTrue();
    }

    @Test
    void aHostThatMissedAVersionIsNotConfirmed() throws Exception {
        assertThat(confirmWithReply(result(true, 8))).isFalse();
    }

    /** Also the answer of a control host without a leader, or of an older version of the software. */
    @Test
    void aResultThatNoLeaderConfirmedIsNotAccepted() throws Exception {
        assertThat(confirmWithReply(result(false, 7))).isFalse();
        assertThat(confirmWithReply(Envelope.newBuilder())).isFalse();
    }

    @Test
    void aVersionThatArrivesBeforeTheResultCounts() throws Exception {
        requestConfirmation();
        Consumer<Envelope.Builder> reply = nextQuery();
        apply(8);
        reply.accept(result(true, 8));
        assertThat(nextAnswer()).isTrue();
    }

    @Test
    void aHostWithoutALeaderSendsNoQuery() throws Exception {
        current = false;
        requestConfirmation();
        assertThat(nextAnswer()).isFalse();
        assertThat(queries.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
    }

    @Test
    void aQueryWithoutAReplyIsNotConfirmed() throws Exception {
        requestConfirmation();
        nextQuery();
        assertThat(nextAnswer()).isFalse();
    }

    /** Guards against a query to control for each of many callers with unknown keys. */
    @Test
    void callersShareReadsThatBeganAfterTheirCall() throws Exception {
        requestConfirmation();
        Consumer<Envelope.Builder> first = nextQuery();
        for (int caller = 0; caller < 999; caller++) {
            requestConfirmation();
        }
        assertThat(queries.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
        first.accept(result(true, 7));
        assertThat(nextAnswer()).isTrue();
        Consumer<Envelope.Builder> second = nextQuery();
        assertThat(answers).isEmpty();
        second.accept(result(true, 8));
        for (int caller = 0; caller < 999; caller++) {
            assertThat(nextAnswer()).isFalse();
        }
        assertThat(queries.poll(QUIET_MILLIS, TimeUnit.MILLISECONDS)).isNull();
    }

    private boolean confirmWithReply(Envelope.Builder reply) throws Exception {
        requestConfirmation();
        nextQuery().accept(reply);
        return nextAnswer();
    }

    private void requestConfirmation() {
        group.next().execute(() -> newest.confirmNewest(answers::add));
    }

    private Consumer<Envelope.Builder> nextQuery() throws Exception {
        return requireNonNull(queries.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private boolean nextAnswer() throws Exception {
        return requireNonNull(answers.poll(WAIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasVersionQuery()) {
            queries.add(reply);
        }
    }

    private void apply(long version) throws Exception {
        RoutingConfiguration configuration =
                RoutingConfiguration.create(version, ImmutableList.of(), ImmutableMap.of(), RequestLimits.DEFAULT);
        TableDelta tables =
                TableDelta.newBuilder().setRevision(version).setWhole(true).build();
        group.submit(() -> view.apply(tables, Optional.of(configuration))).get();
    }

    private static Envelope.Builder result(boolean confirmed, long version) {
        return Envelope.newBuilder()
                .setVersionQueryResult(
                        VersionQueryResult.newBuilder().setCurrent(confirmed).setVersion(version));
    }
}
