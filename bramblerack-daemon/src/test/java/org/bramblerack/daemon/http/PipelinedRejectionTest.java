package org.bramblerack.daemon.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the rejection of a pipelined request being taken for the answer to an earlier request. */
final class PipelinedRejectionTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    private HostAndPort address;
    private HttpListener listener;

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
        listener =
                new HttpListener(address, group, exchanges::add, () -> RequestLimits.DEFAULT, MonotonicClock.system());
        listener.start();
    }

    @AfterEach
    void stop() {
        listener.stopNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @CsvSource({
        "'MALFORMED\r\n\r\n', 400",
        "'GET / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n', 400",
        "'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999\r\n\r\n', 413",
    })
    void aRejectionWaitsForTheAnswersBeforeIt(String rejected, int status) throws Exception {
        try (Socket caller = new Socket(address.getHost(), address.getPort())) {
            caller.setSoTimeout(TIMEOUT_MILLIS);
            String requests = REQUEST + REQUEST + rejected.translateEscapes() + REQUEST;
            caller.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
            HttpExchange first = exchanges.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(first).isNotNull();
            Thread.sleep(200);
            first.respond(200, "text/plain", "1");
            HttpExchange second = exchanges.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertThat(second).isNotNull();
            second.respond(200, "text/plain", "2");
            String answers = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            assertThat(answers.replaceAll("(?s)HTTP/1.1 (\\d+).*?\r\n\r\n", "<$1>"))
                    .isEqualTo("<200>1<200>2<" + status + ">");
        }
        assertThat(exchanges).isEmpty();
    }
}
