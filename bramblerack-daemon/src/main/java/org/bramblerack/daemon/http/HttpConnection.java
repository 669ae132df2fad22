package org.bramblerack.daemon.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bramblerack.process.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller, whose requests are handled one at a time in the order of arrival.
 *
 * <p>Owned by its event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The connection is closed if more pipelined requests than this wait for their turn. */
    private static final int MAX_PIPELINED = 32;

    private static final int BAD_REQUEST = 400;
    private static final int HEAD_TOO_LONG = 431;
    private static final int URI_TOO_LONG = 414;

    private final HttpListener listener;
    private final MonotonicClock clock;
    private final Deque<HttpExchange> waiting = new ArrayDeque<>();
    private @Nullable HttpExchange current;
    private @Nullable ChannelHandlerContext context;
    private long lastActivityNanos;
    private boolean headIncomplete;
    private boolean closing;

    HttpConnection(HttpListener listener, MonotonicClock clock) {
        this.listener = listener;
        this.clock = clock;
        this.lastActivityNanos = clock.nowNanos();
    }

    static boolean isClosing(ChannelHandlerContext context) {
        HttpConnection connection = context.pipeline().get(HttpConnection.class);
        return connection == null || connection.closing || connection.listener.isStopping();
    }

    @Override
    public void channelActive(ChannelHandlerContext handlerContext) {
        context = handlerContext;
        listener.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
        listener.onClosed(this);
        HttpExchange unanswered = current;
        current = null;
        if (unanswered != null) {
            unanswered.onCallerDisconnected();
        }
        waiting.forEach(HttpExchange::onCallerDisconnected);
        waiting.clear();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpRequest request) {
        lastActivityNanos = clock.nowNanos();
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            rejectMalformed(handlerContext, decoded.cause());
            return;
        }
        HttpExchange exchange = new HttpExchange(
                handlerContext,
                request.method(),
                request.uri(),
                request.headers(),
                ByteBufUtil.getBytes(request.content()),
                HttpUtil.isKeepAlive(request),
                lastActivityNanos,
                this::onAnswered);
        if (current != null) {
            if (waiting.size() >= MAX_PIPELINED) {
                handlerContext.close();
                return;
            }
            waiting.addLast(exchange);
            return;
        }
        handle(exchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        handlerContext.close();
    }

    /** Called with true when bytes arrive, and with false when a request head is complete. */
    void onHeadProgress(boolean incomplete) {
        if (incomplete && !headIncomplete && current == null) {
            lastActivityNanos = clock.nowNanos();
        }
        headIncomplete = incomplete;
    }

    boolean isIdle() {
        return current == null && waiting.isEmpty();
    }

    /** Closes the connection if it has been idle, or its request head incomplete, for longer than the timeout. */
    void closeIfTimedOut(long nowNanos, long headerTimeoutNanos, long idleTimeoutNanos) {
        if (!isIdle() || context == null) {
            return;
        }
        long allowedNanos = headIncomplete ? headerTimeoutNanos : idleTimeoutNanos;
        if (nowNanos - lastActivityNanos > allowedNanos) {
            context.close();
        }
    }

    /** Closes the connection once the current request has been answered. */
    void closeWhenIdle() {
        closing = true;
        if (isIdle() && context != null) {
            context.close();
        }
    }

    /** Closes the connection immediately, even if a request is unanswered. */
    void closeNow() {
        if (context != null) {
            context.close();
        }
    }

    private void handle(HttpExchange exchange) {
        current = exchange;
        listener.handler().handle(exchange);
    }

    private void onAnswered(HttpExchange exchange) {
        lastActivityNanos = clock.nowNanos();
        current = null;
        if (closing || listener.isStopping()) {
            // The answer closes the connection, so pipelined requests are dropped without having been handled.
            waiting.clear();
            return;
        }
        HttpExchange next = waiting.pollFirst();
        if (next != null) {
            handle(next);
        }
    }

    private void rejectMalformed(ChannelHandlerContext handlerContext, Throwable cause) {
        int status = BAD_REQUEST;
        if (cause instanceof TooLongHttpHeaderException) {
            status = HEAD_TOO_LONG;
        } else if (cause instanceof TooLongFrameException) {
            status = URI_TOO_LONG;
        }
        FullHttpResponse response = HttpExchange.response(status, Unpooled.EMPTY_BUFFER);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        handlerContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
