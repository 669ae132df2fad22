package org.bramblerack.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * One request of a caller and its answer.
 *
 * <p>Invariant: at most one answer is written, and none after the caller has gone. The head and the body stay valid
 * after the answer. {@link #respond} may be called from any thread; the rest belongs to the event loop.
 */
public final class HttpExchange {
    private final ChannelHandlerContext context;
    private final HttpMethod method;
    private final String uri;
    private final HttpHeaders headers;
    private final byte[] body;
    private final boolean keepAlive;
    private final long receivedNanos;
    private final Consumer<HttpExchange> onAnswered;
    private Runnable onCallerGone = () -> {};
    private boolean answered;
    private boolean callerGone;

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

    /** Returns the method, as it was sent. */
    public String method() {
        return method.name();
    }

    /** Returns the target of the request, as it was sent. */
    public String uri() {
        return uri;
    }

    /** Returns the path: the target up to a query. */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Returns the header fields. */
    public HttpHeaders headers() {
        return headers;
    }

    /** Returns the body; it must not be changed. */
    public byte[] body() {
        return body;
    }

    /** Returns the body as text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns when the whole request had arrived. */
    public long receivedNanos() {
        return receivedNanos;
    }

    /** Sets what to do if the caller goes away before it was answered. */
    public void onCallerGone(Runnable task) {
        onCallerGone = task;
    }

    /** Returns true if the caller went away before it was answered. */
    public boolean isCallerGone() {
        return callerGone;
    }

    /** Answers with a text of the given type. */
    public void respond(int status, String contentType, String text) {
        FullHttpResponse response = response(status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        if (!text.isEmpty()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        respond(response);
    }

    /** Answers; the length is set here, and whether the connection stays open. */
    public void respond(FullHttpResponse response) {
        if (context.executor().inEventLoop()) {
            write(response);
        } else {
            context.executor().execute(() -> write(response));
        }
    }

    /** Creates an answer that holds the given bytes. */
    public static FullHttpResponse response(int status, ByteBuf content) {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    }

    void onCallerDisconnected() {
        if (!answered) {
            callerGone = true;
            onCallerGone.run();
        }
    }

    private void write(FullHttpResponse response) {
        if (answered || callerGone) {
            response.release();
            return;
        }
        answered = true;
        boolean close = !keepAlive || HttpConnection.isClosing(context);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            context.writeAndFlush(response, context.voidPromise());
        }
        onAnswered.accept(this);
    }
}
