package org.bramblerack.daemon.peer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.Ping;
import org.bramblerack.wire.RaftMessage;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerConnectionTest {
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final PeerNetwork network = PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic());

    @AfterEach
    void stop() {
        network.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A network partition closes no connection: the server accepts and then neither reads nor closes. */
    @Test
    void aSilentConnectionIsClosedAndReopened() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> acceptAll(silent, accepted), "silent");
            thread.setDaemon(true);
            thread.start();
            String host = "127.0.0.1:" + silent.getLocalPort();
            sendRepeatedly(host, Duration.ofSeconds(5));
            assertThat(accepted.get()).isAtLeast(2);
        }
    }

    @Test
    void aConnectionThatRepliesIsKept() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        AtomicInteger messages = new AtomicInteger();
        PeerServer server = new PeerServer(
                address, (message, reply) -> messages.incrementAndGet(), group, LinkPolicy.OPEN, new PeerTraffic());
        server.start();
        sendRepeatedly(address.toString(), Duration.ofSeconds(3));
        assertThat(messages.get()).isAtLeast(20);
        assertThat(network.request(
                                address.toString(),
                                Envelope.newBuilder().setPing(Ping.getDefaultInstance()),
                                Duration.ofSeconds(1))
                        .await()
                        .atMost(Duration.ofSeconds(2))
                        .hasPing())
                .isTrue();
        server.stop();
    }

    /** Silence is counted from the first unanswered write, not from the last message received. */
    @Test
    void anIdleConnectionIsNotTreatedAsSilent() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        PeerServer server = new PeerServer(
                address,
                (message, reply) -> group.next()
                        .schedule(
                                () -> reply.accept(
                                        Envelope.newBuilder().setStageResult(StageResult.getDefaultInstance())),
                                700,
                                TimeUnit.MILLISECONDS),
                group,
                LinkPolicy.OPEN,
                new PeerTraffic());
        server.start();
        sendRepeatedly(address.toString(), Duration.ofMillis(300));
        for (int round = 0; round < 3; round++) {
            Thread.sleep(1_600);
            Envelope reply = network.request(
                            address.toString(),
                            Envelope.newBuilder().setStageCall(StageCall.getDefaultInstance()),
                            Duration.ofSeconds(2))
                    .await()
                    .atMost(Duration.ofSeconds(3));
            assertThat(reply.hasStageResult()).isTrue();
        }
        server.stop();
    }

    /** The first request to a host opens its connection. */
    @Test
    void aRequestWaitsForItsConnection() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        PeerServer server = new PeerServer(
                address,
                (message, reply) ->
                        reply.accept(Envelope.newBuilder().setStageResult(StageResult.getDefaultInstance())),
                group,
                LinkPolicy.OPEN,
                new PeerTraffic());
        server.start();
        assertThat(call(address.toString()).hasStageResult()).isTrue();
        server.stop();
    }

    /** A message with a remaining time must not age while its connection is opened. */
    @Test
    void aMessageIsBuiltWhenItsConnectionIsOpen() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        PeerServer server = new PeerServer(address, (message, reply) -> {}, group, LinkPolicy.OPEN, new PeerTraffic());
        server.start();
        CountDownLatch built = new CountDownLatch(1);
        boolean builtEarly = group.submit(() -> {
                    network.requestWhenConnected(
                                    address.toString(),
                                    () -> {
                                        built.countDown();
                                        return Envelope.newBuilder().setStageCall(StageCall.getDefaultInstance());
                                    },
                                    Duration.ofSeconds(2),
                                    progress -> {})
                            .subscribe()
                            .with(reply -> {}, failure -> {});
                    return built.getCount() == 0;
                })
                .get();
        assertThat(builtEarly).isFalse();
        assertThat(built.await(5, TimeUnit.SECONDS)).isTrue();
        server.stop();
    }

    @Test
    void theMessageThatOpensAConnectionArrives() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        CountDownLatch arrived = new CountDownLatch(1);
        PeerServer server = new PeerServer(
                address, (message, reply) -> arrived.countDown(), group, LinkPolicy.OPEN, new PeerTraffic());
        server.start();
        network.send(address.toString(), Envelope.newBuilder().setRaft(RaftMessage.getDefaultInstance()));
        assertThat(arrived.await(5, TimeUnit.SECONDS)).isTrue();
        server.stop();
    }

    @Test
    void aRequestToAnUnreachableHostFailsAsNotSent() throws Exception {
        String unreachable = "127.0.0.1:" + freePort();
        CompletionException failure = assertThrows(CompletionException.class, () -> call(unreachable));
        assertThat(failure).hasCauseThat().isInstanceOf(PeerFailure.class);
        assertThat(failure).hasCauseThat().hasMessageThat().contains("no connection");
    }

    private Envelope call(String host) {
        return network.requestWhenConnected(
                        host,
                        () -> Envelope.newBuilder().setStageCall(StageCall.getDefaultInstance()),
                        Duration.ofSeconds(2),
                        progress -> {})
                .await()
                .atMost(Duration.ofSeconds(3));
    }

    @Test
    void theTagOfANameIsNotPartOfTheAddress() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> acceptAll(listening, accepted), "tagged");
            thread.setDaemon(true);
            thread.start();
            sendRepeatedly(
                    "127.0.0.1:" + listening.getLocalPort() + PeerNetwork.TAG_SEPARATOR + "7", Duration.ofMillis(500));
            assertThat(accepted.get()).isEqualTo(1);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }

    private void sendRepeatedly(String host, Duration length) throws InterruptedException {
        long endNanos = System.nanoTime() + length.toNanos();
        while (System.nanoTime() < endNanos) {
            network.send(host, Envelope.newBuilder().setRaft(RaftMessage.getDefaultInstance()));
            Thread.sleep(50);
        }
    }

    private static void acceptAll(ServerSocket server, AtomicInteger accepted) {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setReceiveBufferSize(4_096);
                accepted.incrementAndGet();
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }
}
