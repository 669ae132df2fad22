package org.bramblerack.daemon.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.ServerSocket;
import java.nio.channels.spi.SelectorProvider;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.Ping;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Wakeups of the event loop by idle connections must not grow with their number, as each costs processor time. */
final class PeerWakesTest {
    private static final int CONNECTIONS = 30;
    private static final Duration CONNECT_INTERVAL = Duration.ofMillis(15);
    /** The usual timeout of a request; a reply must cancel it, so that it causes no wakeup. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(1_500);

    /** Longer than the half second for which a request waits for its connection. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(700);

    private static final Duration IDLE_TIME = Duration.ofSeconds(2);
    /** Wakeups by one probe task every half second, and twice as many for other tasks of the event loop. */
    private static final int MAX_WAKEUPS = 12;

    private final AtomicInteger wakeups = new AtomicInteger();
    private final EventLoopGroup serverGroup = new NioEventLoopGroup(1);
    private final EventLoopGroup group = new NioEventLoopGroup(
            1, new DefaultThreadFactory("counted"), SelectorProvider.provider(), this::countingStrategy);
    private final PeerNetwork network = PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic());

    @AfterEach
    void stop() {
        network.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        serverGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void idleConnectionsRarelyWakeTheEventLoop() throws Exception {
        HostAndPort address;
        try (ServerSocket any = new ServerSocket(0)) {
            address = HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
        PeerServer server =
                new PeerServer(address, (message, reply) -> {}, serverGroup, LinkPolicy.OPEN, new PeerTraffic());
        server.start();
        for (int connection = 0; connection < CONNECTIONS; connection++) {
            ping(address.toString() + PeerNetwork.TAG_SEPARATOR + connection);
            Thread.sleep(CONNECT_INTERVAL.toMillis());
        }
        Thread.sleep(SETTLE_TIME.toMillis());
        int before = wakeups.get();
        Thread.sleep(IDLE_TIME.toMillis());
        assertThat(wakeups.get() - before).isAtMost(MAX_WAKEUPS);
        server.stop();
    }

    private void ping(String host) {
        Envelope reply = network.requestWhenConnected(
                        host,
                        () -> Envelope.newBuilder().setPing(Ping.getDefaultInstance()),
                        REPLY_TIMEOUT,
                        progress -> {})
                .await()
                .atMost(REPLY_TIMEOUT);
        assertThat(reply.hasPing()).isTrue();
    }

    private SelectStrategy countingStrategy() {
        SelectStrategy plain = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (supplier, hasTasks) -> {
            wakeups.incrementAndGet();
            return plain.calculateStrategy(supplier, hasTasks);
        };
    }
}
