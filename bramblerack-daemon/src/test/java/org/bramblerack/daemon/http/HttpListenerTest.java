package org.bramblerack.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.base.Splitter;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.version.routing.RequestLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks over plain sockets that a listener which stops, or closes connections, cuts off no answer. */
final class HttpListenerTest {
    private static final Duration LIMIT = Duration.ofSeconds(30);
    /** Larger than the socket buffers of the kernel. */
    private static final int LARGE_BYTES = 12_000_000;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final BlockingQueue<HttpExchange> exchanges = new LinkedBlockingQueue<>();
    /** The time at which the listener's clock stands still, so that a busy machine uses up no grace period. */
    private volatile OptionalLong frozenNanos = OptionalLong.empty();

    private HostAndPort address;
    private HttpListener listener;
    private RequestLimits limits = RequestLimits.DEFAULT;

    @BeforeEach
    void start() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
        listener = new HttpListener(address, group, exchanges::add, () -> limits, this::nowNanos);
        listener.start();
    }

    @AfterEach
    void stop() {
        listener.stopNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** An answer is in flight until its last byte was written, even if it was given before the stop began. */
    @Test
    void aStopDoesNotCutOffAnAnswerToASlowReader() throws Exception {
        try (Socket caller = connect(SMALL_RECEIVE_BUFFER_BYTES)) {
            send(caller, REQUEST);
            respond(LARGE_BYTES);
            CompletableFuture<Void> drained = drain();
            sleepMillis(300);
            assertThat(bodyLength(readToEnd(caller))).isEqualTo(LARGE_BYTES);
            drained.get();
        }
    }

    /** Only the answer to the last request that was read may announce that the connection closes. */
    @Test
    void aStopAnswersAllPipelinedRequestsThatWereRead() throws Exception {
        try (Socket caller = connect(0)) {
            send(caller, REQUEST + REQUEST + REQUEST);
            HttpExchange first = take();
            CompletableFuture<Void> drained = drain();
            sleepMillis(100);
            first.respond(200, "text/plain", "1");
            take().respond(200, "text/plain", "2");
            take().respond(200, "text/plain", "3");
            String answers = readToEnd(caller);
            assertThat(Splitter.on("HTTP/1.1 200").splitToList(answers)).hasSize(4);
            assertThat(answers.indexOf("close")).isGreaterThan(answers.lastIndexOf("HTTP/1.1 200"));
            drained.get();
        }
    }

    /** A request whose first bytes were read is in flight. */
    @Test
    void aStopAnswersARequestThatWasReadInPart() throws Exception {
        try (Socket caller = connect(0)) {
            frozenNanos = OptionalLong.of(System.nanoTime());
            send(caller, REQUEST.substring(0, 10));
            sleepMillis(100);
            CompletableFuture<Void> drained = drain();
            sleepMillis(400);
            send(caller, REQUEST.substring(10));
            respond(1);
            assertThat(bodyLength(readToEnd(caller))).isEqualTo(1);
            drained.get();
        }
    }

    /** A connection in use is closed by an answer that says so, not between two requests. */
    @Test
    void aStopDoesNotCloseAConnectionInUse() throws Exception {
        try (Socket caller = connect(0)) {
            frozenNanos = OptionalLong.of(System.nanoTime());
            send(caller, REQUEST);
            respond(1);
            CompletableFuture<Void> drained = drain();
            sleepMillis(50);
            send(caller, REQUEST);
            respond(2);
            String answers = readToEnd(caller);
            assertThat(Splitter.on("HTTP/1.1 200").splitToList(answers)).hasSize(3);
            assertThat(answers).contains("close");
            drained.get();
        }
    }

    /** A stop is not held up to its limit by a caller that never sends the rest of its request. */
    @Test
    void aStopWaitsForTheRestOfARequestForALimitedTime() throws Exception {
        try (Socket caller = connect(0)) {
            send(caller, REQUEST.substring(0, 10));
            sleepMillis(100);
            long startNanos = System.nanoTime();
            listener.drain(LIMIT);
            assertThat(System.nanoTime() - startNanos).isLessThan(LIMIT.toNanos() / 2);
            assertThat(listener.connectionCount()).isEqualTo(0);
        }
    }

    /** The handler of a request says how it is ended; otherwise it is refused, like those that wait behind it. */
    @Test
    void requestsInFlightAreAnsweredBeforeTheServerEnds() throws Exception {
        try (Socket handled = connect(0);
                Socket unhandled = connect(0);
                Socket readInPart = connect(0)) {
            send(handled, REQUEST + REQUEST);
            HttpExchange exchange = take();
            exchange.onStopLimit(() -> exchange.respond(504, "text/plain", "unfinished"));
            send(unhandled, REQUEST);
            take();
            send(readInPart, REQUEST.substring(0, 10));
            sleepMillis(100);
            listener.beginStop();
            listener.refuseNew();
            listener.endRequests();
            String answers = readToEnd(handled);
            assertThat(answers).startsWith("HTTP/1.1 504");
            assertThat(answers).contains("HTTP/1.1 503");
            assertThat(readToEnd(unhandled)).startsWith("HTTP/1.1 503");
            assertThat(readToEnd(readInPart)).startsWith("HTTP/1.1 408");
            assertThat(exchanges).isEmpty();
        }
    }

    /** A close with unread input would reset the connection, and the caller would lose the answer. */
    @Test
    void aCloseWithUnreadInputDoesNotResetTheConnection() throws Exception {
        try (Socket caller = connect(SMALL_RECEIVE_BUFFER_BYTES)) {
            listener.beginStop();
            send(caller, REQUEST);
            respond(200_000);
            for (int sent = 0; sent < 20; sent++) {
                send(caller, REQUEST);
                sleepMillis(10);
            }
            assertThat(bodyLength(readToEnd(caller))).isEqualTo(200_000);
        }
    }

    /** A caller that reads slowly but steadily is not idle. */
    @Test
    void anIdleTimeoutDoesNotCutOffAnAnswerThatIsBeingRead() throws Exception {
        limits = new RequestLimits(
                limits.maxHeaderBytes(), limits.maxBodyBytes(), limits.headerTimeout(), Duration.ofSeconds(3));
        try (Socket caller = connect(SMALL_RECEIVE_BUFFER_BYTES)) {
            send(caller, REQUEST);
            respond(LARGE_BYTES);
            InputStream input = caller.getInputStream();
            int readBytes = 0;
            for (int part = 0; part < 45; part++) {
                readBytes += input.readNBytes(200_000).length;
                sleepMillis(100);
            }
            int remainingBytes = LARGE_BYTES - readBytes;
            assertThat(input.readNBytes(remainingBytes).length).isEqualTo(remainingBytes);
        }
    }

    private long nowNanos() {
        return frozenNanos.orElseGet(System::nanoTime);
    }

    private CompletableFuture<Void> drain() {
        return CompletableFuture.runAsync(() -> {
            try {
                listener.drain(LIMIT);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private HttpExchange take() throws InterruptedException {
        HttpExchange exchange = exchanges.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
        assertWithMessage("a request").that(exchange).isNotNull();
        return exchange;
    }

    private void respond(int bytes) throws InterruptedException, ExecutionException {
        take().respond(HttpExchange.response(200, Unpooled.wrappedBuffer(new byte[bytes])));
        // The event loop has written what fits into the socket.
        group.next().submit(() -> {}).get();
    }

    private Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setSoTimeout((int) LIMIT.toMillis());
        socket.connect(new InetSocketAddress(address.getHost(), address.getPort()));
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String readToEnd(Socket socket) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        socket.getInputStream().transferTo(text);
        return text.toString(StandardCharsets.US_ASCII);
    }

    private static int bodyLength(String answer) {
        assertThat(answer).contains("\r\n\r\n");
        return answer.length() - answer.indexOf("\r\n\r\n") - 4;
    }

    private static void sleepMillis(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }
}
