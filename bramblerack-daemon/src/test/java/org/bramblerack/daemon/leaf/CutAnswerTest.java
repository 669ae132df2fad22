package org.bramblerack.daemon.leaf;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.version.routing.HomeRegions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer that its leaf cuts off, at any byte of the head or the body, being taken for a whole one.
 */
final class CutAnswerTest {
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
            "Team");
    private static final String FIELDS = "Request-Id: r-1\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 1,0,8\r\n";
    private static final int TIMEOUT_SECONDS = 5;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<Object> results = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private volatile byte[] answer = new byte[0];
    private volatile boolean reset;

    /** The form of an answer. */
    enum Form {
        WITH_LENGTH("HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 16\r\n\r\n", "0123456789abcdef"),
        LENGTH_FIRST("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n" + FIELDS + "\r\n", "0123456789abcdef"),
        EMPTY("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + FIELDS + "\r\n", ""),
        CHUNKED(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + FIELDS + "\r\n",
                "10\r\n0123456789abcdef\r\n0\r\n\r\n"),
        WITHOUT_STATED_LENGTH("HTTP/1.1 200 OK\r\n" + FIELDS + "\r\n", ""),
        OLD_VERSION("HTTP/1.0 200 OK\r\n" + FIELDS + "\r\n", ""),
        LINE_FEEDS_ONLY("HTTP/1.1 200 OK\n" + FIELDS.replace("\r", "") + "Content-Length: 16\n\n", "0123456789abcdef"),
        NO_CONTENT("HTTP/1.1 204 No Content\r\n" + FIELDS + "\r\n", ""),
        AFTER_INTERIM("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS + "\r\n", ""),
        REFUSAL("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n" + FIELDS + "\r\n", "");

        private final String head;
        private final String body;

        Form(String head, String body) {
            this.head = head;
            this.body = body;
        }
    }

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread listener = new Thread(this::acceptConnections, "leaf");
        listener.setDaemon(true);
        listener.start();
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @EnumSource
    void aCutAnswerIsNoAnswer(Form form) throws Exception {
        byte[] whole = (form.head + form.body).getBytes(StandardCharsets.ISO_8859_1);
        for (boolean resets : ImmutableList.of(false, true)) {
            reset = resets;
            for (AnswerKind kind : AnswerKind.values()) {
                for (int length = 0; length < whole.length; length++) {
                    answer = Arrays.copyOf(whole, length);
                    assertWithMessage("%s after %s of %s bytes, reset: %s", kind, length, whole.length, resets)
                            .that(call(kind))
                            .isAnyOf(LeafOutcome.BROKEN, LeafOutcome.GARBLED);
                }
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void theWholeAnswerIsOne(Form form) throws Exception {
        answer = (form.head + form.body).getBytes(StandardCharsets.ISO_8859_1);
        for (AnswerKind kind : AnswerKind.values()) {
            assertThat(call(kind)).isInstanceOf(LeafAnswer.class);
        }
    }

    private Object call(AnswerKind kind) throws InterruptedException {
        Leaf leaf = new Leaf("i-1", "s", "127.0.0.1:" + server.getLocalPort(), Distance.SAME_ZONE, 2, Duration.ZERO, 0);
        LeafConnections connections = new LeafConnections(
                leaf,
                group,
                HEADER_NAMES,
                MonotonicClock.system(),
                new AnswerLimits(MonotonicClock.system()),
                () -> 1,
                event -> {},
                CallMonitor.NONE);
        LeafRequest request = request(kind);
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        group.next().execute(() -> connections.send(request, deadlineNanos, new RecordingCallback()));
        Object result = results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(result).isNotNull();
        return result;
    }

    private static LeafRequest request(AnswerKind kind) {
        LeafRequest request = LeafRequest.create(
                "GET",
                "/path",
                new DefaultHttpHeaders().set("Host", "h").set("Request-Id", "r-1"),
                new byte[0],
                HomeRegions.ANY,
                "",
                HEADER_NAMES);
        return kind == AnswerKind.PART ? request.forQuery() : request;
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "leaf-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has closed the server.
        }
    }

    /** Answers a request and closes. A connection that only checks whether the leaf is alive sends no request. */
    private void serve(Socket socket) {
        try (socket) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String line = reader.readLine();
            while (line != null && !line.isEmpty()) {
                line = reader.readLine();
            }
            socket.getOutputStream().write(answer);
            socket.setSoLinger(reset, 0);
        } catch (IOException closed) {
            // The other side has closed the connection.
        }
    }

    /** Adds each result to the queue. */
    private final class RecordingCallback implements LeafCallback {
        @Override
        public void onAnswer(LeafAnswer whole) {
            results.add(whole);
        }

        @Override
        public void onFailure(LeafOutcome outcome) {
            results.add(outcome);
        }
    }
}
