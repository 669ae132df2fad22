package org.bramblerack.daemon.holder;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import io.vertx.mutiny.core.Vertx;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a call that has run being taken for refused because of what an upstream sent before its reply. */
final class HttpUpstreamProtocolTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final UpstreamName NAME = new UpstreamName(new ServiceName("partner", "service"), "u1");
    private static final String REPLY_HEADERS = String.join(
            "\r\n",
            "X-Call-Id: c",
            "X-Shard: 0",
            "X-Shard-Count: 1",
            "X-Index-Version: 1",
            "X-Payload-Length: 0",
            "X-Payload-Crc32c: 0",
            "Content-Length: 0",
            "",
            "");

    private final Vertx vertx = Vertx.vertx();
    /** The upstream's responses to the calls, in their order. */
    private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();

    private ServerSocket server;
    private HttpUpstreamProtocol protocol;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "upstream");
        thread.setDaemon(true);
        thread.start();
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", server.getLocalPort());
        protocol = new HttpUpstreamProtocol(vertx, new Upstream(NAME, 0, "z", address, false), 1);
    }

    @AfterEach
    void stop() throws IOException {
        protocol.close();
        server.close();
        vertx.close().await().atMost(TIMEOUT);
    }

    @Test
    void aRefusalOfTheCallMeansThatItHasNotRun() {
        responses.add("HTTP/1.1 503 X\r\nX-Refusal: overloaded\r\nX-Call-Id: c\r\nContent-Length: 0\r\n\r\n");
        assertThat(call()).isEqualTo(new LeafOutcome.Failed(LeafFailure.OVERLOADED));
    }

    @Test
    void aRefusalOfAnotherCallDoesNot() {
        responses.add("HTTP/1.1 503 X\r\nX-Refusal: overloaded\r\nX-Call-Id: b\r\nContent-Length: 0\r\n\r\n");
        assertThat(call()).isEqualTo(new LeafOutcome.Failed(LeafFailure.MISDIRECTED));
    }

    /** Bytes that follow a reply, and are no whole message, are read together with the next reply. */
    @Test
    void aBrokenOffRefusalBeforeAReplyDoesNot() {
        responses.add("HTTP/1.1 200 OK\r\n" + REPLY_HEADERS + "HTTP/1.1 503 X\r\nX-Refusal: overloaded\r\nX-Zone: ");
        responses.add("HTTP/1.1 200 OK\r\n" + REPLY_HEADERS);
        assertThat(call()).isInstanceOf(LeafOutcome.Replied.class);
        LeafOutcome second = call();
        boolean refused =
                second instanceof LeafOutcome.Failed failed && failed.failure().isCertainlyNotRun();
        assertThat(refused).isFalse();
    }

    private LeafOutcome call() {
        LeafRequest request = new LeafRequest(
                "c", "r", NAME, 0, 0, Priority.URGENT, System.nanoTime() + TIMEOUT.toNanos(), "op", ByteString.EMPTY);
        return protocol.call(request, TIMEOUT).await().atMost(TIMEOUT);
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "upstream-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has closed the server.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            while (line != null) {
                if (line.isEmpty()) {
                    socket.getOutputStream().write(responses.take().getBytes(StandardCharsets.ISO_8859_1));
                }
                line = reader.readLine();
            }
        } catch (IOException | InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
