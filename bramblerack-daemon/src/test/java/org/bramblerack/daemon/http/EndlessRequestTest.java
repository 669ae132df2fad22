package org.bramblerack.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.BufferLimit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that send bytes until the listener closes, in a head or a body. */
final class EndlessRequestTest {
    private static final int UNIT_REPETITIONS = 4_096;
    /** What is read of a request, discarded after its refusal, and held by the sockets of both sides. */
    private static final long MAX_SENT_BYTES = (2 + 16) * 1024 * 1024;

    private static final int MEMORY_BYTES = 1024 * 1024;
    private static final int INCOMPLETE_BODY_BYTES = 200 * 1024;
    private static final int CALLERS = 12;

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final BufferLimit<CallerConnection> memory = new BufferLimit<>(MEMORY_BYTES);
    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private HostAndPort address;
    private HttpListener listener;

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
        listener = new HttpListener(
                address,
                group,
                exchanges::add,
                () -> RequestLimits.DEFAULT,
                clock,
                new CallerConnections(clock, memory));
        listener.start();
    }

    @AfterEach
    void stop() {
        listener.stopNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @CsvSource({
        // In the head: header lines, one line, line breaks before it.
        "GET / HTTP/1.1|, X: y|",
        "GET / HTTP/1.1|X: , y",
        "GET /, y",
        "'', |",
        // In the body: with a length, in chunks, in chunks of one byte, in chunk extensions, in trailers.
        "PUT / HTTP/1.1|Host: h|Content-Length: 999999999||, y",
        "PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||, 4|yyyy|",
        "PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||, 1|y|",
        "PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||1;, y",
        "PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||, 1;yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy|y|",
        "PUT / HTTP/1.1|Host: h|Transfer-Encoding: chunked||0|, X: y|"
    })
    void anEndlessRequestIsCutOff(String start, String unit) throws Exception {
        byte[] block = unit.replace("|", "\r\n").repeat(UNIT_REPETITIONS).getBytes(StandardCharsets.ISO_8859_1);
        long sentBytes = 0;
        try (Socket caller = connect()) {
            OutputStream out = caller.getOutputStream();
            out.write(start.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            while (sentBytes <= MAX_SENT_BYTES) {
                out.write(block);
                sentBytes += block.length;
            }
        } catch (IOException closedByListener) {
            // Expected.
        }
        assertThat(sentBytes).isAtMost(MAX_SENT_BYTES);
        assertThat(exchanges).isEmpty();
    }

    /** A refusal of the second request must not be taken for the answer to the first one. */
    @Test
    void anEndlessRequestBehindAnotherOneLeavesItsAnswerUnharmed() throws Exception {
        try (Socket caller = connect()) {
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            HttpExchange first = exchanges.poll(10, TimeUnit.SECONDS);
            caller.getOutputStream().write("\r\n".repeat(100_000).getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(300);
            assertThat(first).isNotNull();
            first.respond(200, "text/plain", "1");
            assertThat(firstBytesOf(caller)).startsWith("HTTP/1.1 200");
            String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(rest).doesNotContain("HTTP/1.1");
        }
    }

    /** Callers that send long requests in part do not use up the memory, and others are served. */
    @Test
    void incompleteRequestsOfManyCallersKeepWithinTheMemory() throws Exception {
        String head = "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: " + (INCOMPLETE_BODY_BYTES + 1) + "\r\n\r\n";
        byte[] part = (head + "y".repeat(INCOMPLETE_BODY_BYTES)).getBytes(StandardCharsets.ISO_8859_1);
        List<Socket> callers = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            Socket socket = connect();
            callers.add(socket);
            socket.getOutputStream().write(part);
        }
        assertThat(firstBytesOf(callers.get(0))).startsWith("HTTP/1.1 503");
        assertThat(memory.totalBytes()).isAtMost(MEMORY_BYTES + part.length);
        try (Socket sound = connect()) {
            sound.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(exchanges.poll(10, TimeUnit.SECONDS)).isNotNull();
        }
        for (Socket caller : callers) {
            caller.close();
        }
    }

    private static String firstBytesOf(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        InputStream in = socket.getInputStream();
        return new String(in.readNBytes(12), StandardCharsets.ISO_8859_1);
    }

    private Socket connect() throws IOException {
        return new Socket(address.getHost(), address.getPort());
    }
}
