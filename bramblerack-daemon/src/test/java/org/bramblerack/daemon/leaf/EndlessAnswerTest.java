package org.bramblerack.daemon.leaf;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bramblerack.process.BufferLimit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.version.routing.HomeRegions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a leaf that sends bytes until its caller closes, in a head or a body. */
final class EndlessAnswerTest {
    private static final CallHeaders HEADER_NAMES = new CallHeaders(
            "Request-Id",
            "Deadline",
            "Expected",
            "Leaf-Id",
            "Signature",
            "Load",
            "Not-Run",
            "Retry-After",
            "P",
            "M",
            "T");
    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nSignature: sig\r\n";
    private static final int UNIT_REPETITIONS = 4_096;
    /** What the sockets of both sides may hold beside what was read. */
    private static final long MAX_SOCKET_BYTES = 16 * 1024 * 1024;

    private static final int MAX_READ_BYTES = 64 * 1024;
    private static final int LEAVES = 24;
    private static final int MEMORY_BYTES = 8 * 1024 * 1024;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final BufferLimit<LeafConnection> memory = new BufferLimit<>(MEMORY_BYTES);
    private final AnswerLimits limits = new AnswerLimits(clock, memory);
    private final BlockingQueue<Object> results = new LinkedBlockingQueue<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private final List<ServerSocket> servers = new ArrayList<>();
    private volatile String start = "";
    private volatile String unit = "";

    @BeforeEach
    void listen() throws IOException {
        start = HEAD;
        unit = "X: y\r\n";
    }

    @AfterEach
    void stop() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({
        // In the head: header lines, one line, line breaks before it, interim answers, another protocol.
        "WHOLE, HTTP/1.1 200 OK|, X: y|",
        "WHOLE, HTTP/1.1 200 OK|X: , y",
        "WHOLE, HTTP/1.1 200 , y",
        "WHOLE, '', |",
        "WHOLE, '', HTTP/1.1 100 Continue||",
        "WHOLE, HTTP/1.1 101 Switching Protocols|Upgrade: other|Connection: upgrade||, y",
        "WHOLE, '', HTTP/1.1 200 OK|Request-Id: r-0|Content-Length: 0||",
        // In the body: with a length, unframed, in chunks, in chunks of one byte, in chunk extensions, in trailers.
        "PART, HTTP/1.1 200 OK|Signature: sig|Content-Length: 9999999999||, y",
        "WHOLE, HTTP/1.1 200 OK|Signature: sig||, y",
        "PART, HTTP/1.1 200 OK|Signature: sig||, y",
        "PART, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||, 4|yyyy|",
        "PART, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||, 1|y|",
        "WHOLE, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||, 1|y|",
        "WHOLE, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||1;, y",
        "WHOLE, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||, 1;yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy|y|",
        "WHOLE, HTTP/1.1 200 OK|Signature: sig|Transfer-Encoding: chunked||0|, X: y|"
    })
    void anEndlessAnswerIsCutOffAndMalformed(AnswerKind kind, String lines, String repeated) throws Exception {
        start = lines.replace("|", "\r\n");
        unit = repeated.replace("|", "\r\n");
        send(connections("i-1"), kind);
        assertThat(results.poll(10, TimeUnit.SECONDS)).isEqualTo(LeafOutcome.GARBLED);
        long sent = awaitEnd();
        assertThat(sent).isAtMost(AnswerLimits.maxBodyBytes(kind) + MAX_SOCKET_BYTES);
    }

    /** All connections together keep within the memory, and a sound leaf is still read. */
    @Test
    void manyEndlessAnswersAtOnceKeepWithinTheMemory() throws Exception {
        start = HEAD + "\r\n";
        unit = "y";
        for (int leaf = 0; leaf < LEAVES; leaf++) {
            send(connections("i-" + leaf), AnswerKind.WHOLE);
        }
        for (int leaf = 0; leaf < LEAVES; leaf++) {
            assertThat(results.poll(20, TimeUnit.SECONDS)).isEqualTo(LeafOutcome.GARBLED);
            // One read may have been added and not yet discarded.
            assertThat(memory.totalBytes()).isAtMost(MEMORY_BYTES + MAX_READ_BYTES);
        }
        assertThat(memory.totalBytes()).isEqualTo(0);
        start = HEAD + "Content-Length: 4\r\n\r\nbody";
        unit = "";
        send(connections("i-sound"), AnswerKind.WHOLE);
        assertThat(results.poll(10, TimeUnit.SECONDS)).isInstanceOf(LeafAnswer.class);
    }

    /** Waits until the leaf notices that its connection was closed, and returns what it had sent. */
    private long awaitEnd() throws InterruptedException {
        long before = -1;
        long sent = sentBytes.get();
        while (sent != before) {
            Thread.sleep(200);
            before = sent;
            sent = sentBytes.get();
        }
        return sent;
    }

    private LeafConnections connections(String id) throws IOException {
        ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        servers.add(server);
        Thread thread = new Thread(() -> serve(server), "leaf-" + id);
        thread.setDaemon(true);
        thread.start();
        Leaf leaf = new Leaf(id, "s", "127.0.0.1:" + server.getLocalPort(), Distance.SAME_ZONE, 2, Duration.ZERO, 0);
        return new LeafConnections(leaf, group, HEADER_NAMES, clock, limits, () -> 1, event -> {}, CallMonitor.NONE);
    }

    private void send(LeafConnections connections, AnswerKind kind) {
        LeafRequest single = LeafRequest.create(
                "GET",
                "/",
                new DefaultHttpHeaders().set("Host", "h").set("Request-Id", "r-1"),
                new byte[0],
                HomeRegions.ANY,
                "",
                HEADER_NAMES);
        LeafRequest request = kind == AnswerKind.PART ? single.forQuery() : single;
        long deadlineNanos = clock.nowNanos() + Duration.ofSeconds(30).toNanos();
        group.execute(() -> connections.send(request, deadlineNanos, new RecordingCallback()));
    }

    private void serve(ServerSocket server) {
        try (Socket socket = server.accept()) {
            InputStream in = socket.getInputStream();
            in.read();
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            byte[] block = unit.repeat(UNIT_REPETITIONS).getBytes(StandardCharsets.ISO_8859_1);
            while (block.length > 0) {
                out.write(block);
                sentBytes.addAndGet(block.length);
            }
            in.read(new byte[4_096]);
            in.read();
        } catch (IOException closed) {
            // The caller has closed the connection, or the test has ended.
        }
    }

    /** Adds each result to the queue. */
    private final class RecordingCallback implements LeafCallback {
        @Override
        public void onAnswer(LeafAnswer answer) {
            results.add(answer);
        }

        @Override
        public void onFailure(LeafOutcome outcome) {
            results.add(outcome);
        }
    }
}
