package org.bramblerack.daemon.http;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A caller's request and its answer.
 *
 * <p>Invariant: at most one answer is written, and none after the caller has disconnected. Head and body remain valid
 * after the answer. {@link #respond}, {@link #afterReading} and {@link #isCallerGone} may be called from any thread;
 * all other methods from the event loop only.
 */
public final class HttpExchange {
    private static final int UNAVAILABLE = 503;

    private final ChannelHandlerContext context;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final long receivedNanos;
    private final Consumer<HttpExchange> onAnswered;
    private Runnable onCallerGone = () -> {};
    private Runnable onStopLimit = () -> respond(UNAVAILABLE, "text/plain", "this host is stopping; ask another\n");
    private boolean answered;
    private volatile boolean callerGone;

    HttpExchange(
            ChannelHandlerContext context,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive,
            long receivedNanos,
            Consumer<HttpExchange> onAnswered) {
        this.context = context;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.keepAlive = keepAlive;
        this.receivedNanos = receivedNanos;
        this.onAnswered = onAnswered;
    }

    /** Returns the HTTP method as sent. */
    public String method() {
        return method.name();
    }

    /** Returns the request target as sent. */
    public String uri() {
        return uri;
    }

    /** Returns the path, that is, the target without the query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the header fields. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Returns the body, which must not be modified. */
    public byte[] body() {
        return body;
    }

    /** Returns the body decoded as UTF-8. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the network address of the caller. */
    public String callerAddress() {
        return String.valueOf(context.channel().remoteAddress());
    }

    /** Returns the time at which the request was complete. */
    public long receivedNanos() {
        return receivedNanos;
    }

    /** Sets a task to run if the caller disconnects before the answer. */
    public void onCallerGone(Runnable task) {
        onCallerGone = task;
    }

    /**
     * Runs a task on the event loop after a delay, once everything that had arrived from the caller by then was read,
     * including the end of the connection.
     *
     * @param delay must be positive: the event loop reads from its connections before it runs tasks that are due
     */
    public void afterReading(Duration delay, Runnable task) {
        checkArgument(delay.toNanos() > 0, "the delay must be positive: %s", delay);
        context.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /**
     * Reads what else has arrived from the caller, including the end of the connection, and then runs a task on the
     * event loop unless the request is over.
     */
    public void afterReading(Runnable task) {
        context.executor().execute(() -> {
            Channel channel = context.channel();
            if (channel.config().isAutoRead() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
                socket.read();
            }
            if (channel.isActive() && !isOver()) {
                task.run();
            }
        });
    }

    /** Returns true if the caller disconnected before the answer. */
    public boolean isCallerGone() {
        return callerGone;
    }

    /**
     * Sets a task that answers the request at once because the server is about to end. Until it is set, the request is
     * refused as not handled.
     */
    public void onStopLimit(Runnable task) {
        onStopLimit = task;
    }

    /** Returns true if the request was answered or its caller disconnected. */
    public boolean isOver() {
        return answered || callerGone;
    }

    /** Answers with text of the given content type, encoded as UTF-8. */
    public void respond(int status, String contentType, String text) {
        FullHttpResponse response = response(status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        if (!text.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        respond(response);
    }

    /** Writes the answer, after setting its content length and, if the caller closes the connection, that too. */
    public void respond(FullHttpResponse response) {
        if (context.executor().inEventLoop()) {
            write(response);
        } else {
            context.executor().execute(() -> write(response));
        }
    }

    /** Creates an answer with the given body. */
    public static FullHttpResponse response(int status, ByteBuf content) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    }

    void onCallerDisconnected() {
        if (!answered) {
            callerGone = true;
            onCallerGone.run();
        }
    }

    /** Answers the request now, unless it is over. */
    void end() {
        if (!isOver()) {
            onStopLimit.run();
        }
    }

    private void write(FullHttpResponse response) {
        if (isOver()) {
            response.release();
            return;
        }
        answered = true;
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (!keepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.writeAndFlush(response, context.voidPromise());
        }
        onAnswered.accept(this);
    }
}
