package org.bramblerack.daemon.holder;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamName;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an upstream that answers a request for its report without end. */
final class EndlessReportTest {
    private static final int UNIT_REPETITIONS = 1_024;
    /** What is read of a report, and what the sockets of both sides hold. */
    private static final long MAX_SENT_BYTES = (2 + 16) * 1024 * 1024;

    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final Vertx vertx = Vertx.vertx();
    /** The number of bytes that were sent on each connection until it was closed. */
    private final BlockingQueue<Long> sentBytes = new LinkedBlockingQueue<>();

    private volatile String start = "";
    private volatile byte[] block = new byte[0];
    private volatile long pauseMillis;
    private ServerSocket server;
    private HttpUpstreamProtocol protocol;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::acceptConnections, "upstream");
        thread.setDaemon(true);
        thread.start();
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", server.getLocalPort());
        UpstreamName name = new UpstreamName(new ServiceName("partner", "service"), "u1");
        protocol = new HttpUpstreamProtocol(vertx, new Upstream(name, 0, "z", address, false), 2);
    }

    @AfterEach
    void stop() throws IOException {
        protocol.close();
        server.close();
        vertx.close().await().atMost(LIMIT);
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK||, y, 0",
        "HTTP/1.1 200 OK|Content-Length: 9999999999||, y, 0",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||, 1|y|, 0",
        "'', HTTP/1.1 100 Continue||, 0",
        "HTTP/1.1 200 OK|, X: y|, 0",
        // Too few bytes for a limit of the size, each of which restarts the timeout of the client.
        "HTTP/1.1 200 OK||, y, 100"
    })
    void anEndlessReportFailsAndItsConnectionIsClosed(String head, String unit, long pauseBetweenMillis)
            throws Exception {
        start = head.replace("|", "\r\n");
        pauseMillis = pauseBetweenMillis;
        int repetitions = pauseBetweenMillis > 0 ? 1 : UNIT_REPETITIONS;
        block = unit.replace("|", "\r\n").repeat(repetitions).getBytes(StandardCharsets.ISO_8859_1);
        protocol.report().subscribe().with(report -> {}, failure -> {});
        Long sent = sentBytes.poll(LIMIT.toSeconds(), TimeUnit.SECONDS);
        assertThat(sent).isNotNull();
        assertThat(sent).isAtMost(MAX_SENT_BYTES);
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
        long sent = 0;
        try (socket) {
            socket.getInputStream().read();
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(block);
                sent += block.length;
                Thread.sleep(pauseMillis);
            }
        } catch (IOException closed) {
            sentBytes.add(sent);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
