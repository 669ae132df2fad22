package org.bramblerack.daemon.holder;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
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
import java.util.Arrays;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that an upstream cuts off, at any byte, being taken for a whole one. */
final class CutResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int ROUNDS = 500;
    private static final UpstreamName NAME = new UpstreamName(new ServiceName("partner", "service"), "u1");
    private static final String REPLY_FIELDS =
            "X-Call-Id: c\r\nX-Shard: 10\r\nX-Shard-Count: 21\r\nX-Index-Version: 12\r\nX-Payload-Length: 0\r\nX-Payload-Crc32c: 00\r\n";
    private static final String REPORT =
            "{\"draining\":false,\"versions\":[{\"indexVersion\":12,\"shard\":10,\"shardCount\":21}]}";

    private final Vertx vertx = Vertx.vertx();
    private ServerSocket server;
    private HttpUpstreamProtocol protocol;
    private volatile byte[] response = new byte[0];
    private volatile boolean reset;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::serveConnections, "upstream");
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

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n" + REPLY_FIELDS + "Content-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + REPLY_FIELDS + "\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + REPLY_FIELDS + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n" + REPLY_FIELDS + "\r\n",
                "HTTP/1.0 200 OK\r\n" + REPLY_FIELDS + "\r\n",
                "HTTP/1.1 503 X\r\nX-Refusal: overloaded\r\nX-Call-Id: c\r\nContent-Length: 0\r\n\r\n",
            })
    void aCutReplyIsAFailureThatMayHaveRun(String whole) {
        byte[] bytes = whole.getBytes(StandardCharsets.ISO_8859_1);
        for (boolean resets : ImmutableList.of(false, true)) {
            reset = resets;
            for (int length = 0; length < bytes.length; length++) {
                response = Arrays.copyOf(bytes, length);
                LeafOutcome outcome = call();
                assertWithMessage("after %s of %s bytes, reset: %s", length, bytes.length, resets)
                        .that(outcome)
                        .isInstanceOf(LeafOutcome.Failed.class);
                assertWithMessage("%s after %s of %s bytes, reset: %s", outcome, length, bytes.length, resets)
                        .that(((LeafOutcome.Failed) outcome).failure().isCertainlyNotRun())
                        .isFalse();
            }
        }
    }

    @Test
    void theWholeReplyIsOne() {
        response = ("HTTP/1.1 200 OK\r\n" + REPLY_FIELDS + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        assertThat(call()).isInstanceOf(LeafOutcome.Replied.class);
    }

    /** A test of its own, since the upstream closes the connection that a further call would use. */
    @Test
    void theWholeRefusalIsOne() {
        response = "HTTP/1.1 503 X\r\nX-Refusal: overloaded\r\nX-Call-Id: c\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1);
        assertThat(call()).isEqualTo(new LeafOutcome.Failed(LeafFailure.OVERLOADED));
    }

    /** Reports are the health checks of the protocol. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 78\r\n\r\n" + REPORT,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4e\r\n" + REPORT + "\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\n" + REPORT,
            })
    void aCutReportIsAFailure(String whole) {
        byte[] bytes = whole.getBytes(StandardCharsets.ISO_8859_1);
        assertThat(REPORT).hasLength(78);
        for (boolean resets : ImmutableList.of(false, true)) {
            reset = resets;
            for (int length = 0; length < bytes.length; length++) {
                response = Arrays.copyOf(bytes, length);
                assertWithMessage("after %s of %s bytes, reset: %s", length, bytes.length, resets)
                        .that(reportArrives())
                        .isFalse();
            }
        }
        reset = false;
        response = bytes;
        assertThat(reportArrives()).isTrue();
    }

    /** Guards against a call that fails because the response before it ended with its connection. */
    @Test
    void aCallAfterACloseDelimitedReplyUsesANewConnection() {
        byte[] delimited = ("HTTP/1.1 200 OK\r\n" + REPLY_FIELDS + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = ("HTTP/1.1 200 OK\r\n" + REPLY_FIELDS + "Connection: close\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        for (int round = 0; round < ROUNDS; round++) {
            reset = true;
            response = delimited;
            call();
            reset = false;
            response = whole;
            assertWithMessage("round %s", round).that(call()).isInstanceOf(LeafOutcome.Replied.class);
        }
    }

    private boolean reportArrives() {
        return protocol.report()
                .map(report -> true)
                .onFailure()
                .recoverWithItem(false)
                .await()
                .atMost(TIMEOUT);
    }

    private LeafOutcome call() {
        LeafRequest request = new LeafRequest(
                "c", "r", NAME, 0, 0, Priority.URGENT, System.nanoTime() + TIMEOUT.toNanos(), "op", ByteString.EMPTY);
        return protocol.call(request, TIMEOUT).await().atMost(TIMEOUT);
    }

    private void serveConnections() {
        try {
            while (true) {
                try (Socket socket = server.accept()) {
                    BufferedReader reader = new BufferedReader(
                            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    String line = reader.readLine();
                    while (line != null && !line.isEmpty()) {
                        line = reader.readLine();
                    }
                    socket.getOutputStream().write(response);
                    socket.setSoLinger(reset, 0);
                }
            }
        } catch (IOException closed) {
            // The test has closed the server.
        }
    }
}
