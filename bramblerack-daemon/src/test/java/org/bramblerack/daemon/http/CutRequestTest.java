package org.bramblerack.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.net.HostAndPort;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
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
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that its caller cuts off, at any byte, being handled as a whole one. */
final class CutRequestTest {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String LENGTH_REQUEST =
            "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\nContent-Length: 12\r\n\r\nabcdefghijkl";
    private static final String CHUNKED_REQUEST =
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\n\r\nc\r\nabcdefghijkl\r\n0\r\n\r\n";
    private static final String BODILESS_REQUEST = "DELETE /a HTTP/1.1\r\nHost: h\r\nRequest-Id: r-1\r\n\r\n";

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
    @ValueSource(strings = {LENGTH_REQUEST, CHUNKED_REQUEST, BODILESS_REQUEST})
    void aCutRequestIsNotHandled(String whole) throws Exception {
        for (int length = 0; length < whole.length(); length++) {
            try (Socket caller = connect()) {
                caller.getOutputStream().write(bytes(whole.substring(0, length)));
                caller.shutdownOutput();
                // The listener closes the connection once it has read the end.
                caller.getInputStream().readAllBytes();
            }
            assertWithMessage("after %s of %s bytes", length, whole.length())
                    .that(exchanges)
                    .isEmpty();
            resetAfter(whole.substring(0, length));
        }
        try (Socket caller = connect()) {
            caller.getOutputStream().write(bytes(whole));
            assertThat(exchanges.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isNotNull();
        }
        assertThat(exchanges).isEmpty();
    }

    private void resetAfter(String part) throws IOException {
        try (Socket caller = connect()) {
            caller.getOutputStream().write(bytes(part));
            caller.setSoLinger(true, 0);
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(address.getHost(), address.getPort());
        caller.setSoTimeout(TIMEOUT_MILLIS);
        return caller;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
