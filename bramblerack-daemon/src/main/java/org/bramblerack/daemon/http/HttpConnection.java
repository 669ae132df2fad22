package org.bramblerack.daemon.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
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
import java.util.OptionalInt;
import org.bramblerack.process.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * A connection of a caller, whose requests are handled one at a time in the order of arrival.
 *
 * <p>Invariant: requests are answered in the order of arrival. One that is rejected is the last of its connection.
 * Owned by its event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The connection is closed if more pipelined requests than this wait for their turn. */
    private static final int MAX_PIPELINED = 32;

    private static final int BAD_REQUEST = 400;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int HEAD_TOO_LONG = 431;
    private static final int URI_TOO_LONG = 414;

    private final HttpListener listener;
    private final CallerConnection tracked;
    private final MonotonicClock clock;
    private final Deque<HttpExchange> waiting = new ArrayDeque<>();
    private @Nullable HttpExchange current;
    /** The status with which the last request is rejected, once those before it are answered. */
    private OptionalInt rejection = OptionalInt.empty();

    private @Nullable ChannelHandlerContext context;
    private long lastActivityNanos;
    private long unwrittenBytes;

    HttpConnection(HttpListener listener, CallerConnection tracked, MonotonicClock clock) {
        this.listener = listener;
        this.tracked = tracked;
        this.clock = clock;
        this.lastActivityNanos = clock.nowNanos();
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
        if (rejection.isPresent()) {
            return;
        }
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            reject(handlerContext, statusOf(decoded.cause()));
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
    public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
        if (event instanceof RequestAggregator.TooLarge && rejection.isEmpty()) {
            reject(handlerContext, CONTENT_TOO_LARGE);
        } else {
            handlerContext.fireUserEventTriggered(event);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
        handlerContext.close();
    }

    /**
     * Closes the connection if it has been idle, its request head incomplete, or its caller has read nothing of an
     * answer, for longer than the timeout.
     */
    void closeIfTimedOut(long nowNanos, long headerTimeoutNanos, long idleTimeoutNanos) {
        if (current != null || context == null) {
            return;
        }
        recordReadingCaller(nowNanos, context.channel());
        boolean receivingHead = tracked.isHeadIncomplete() && !tracked.awaitsAnswer();
        long allowedNanos = receivingHead ? headerTimeoutNanos : idleTimeoutNanos;
        long sinceNanos = receivingHead ? tracked.firstByteNanos() : lastActivityNanos;
        if (nowNanos - sinceNanos > allowedNanos) {
            context.close();
        }
    }

    /** Answers the request that is being handled; those that wait for their turn are handled after it. */
    void endRequest() {
        ChannelHandlerContext open = context;
        if (open != null) {
            open.executor().execute(() -> {
                HttpExchange exchange = current;
                if (exchange != null) {
                    exchange.end();
                }
            });
        }
    }

    private void recordReadingCaller(long nowNanos, Channel channel) {
        ChannelOutboundBuffer unwritten = channel.unsafe().outboundBuffer();
        long bytes = unwritten == null ? 0 : unwritten.totalPendingWriteBytes() - unwritten.currentProgress();
        if (bytes != unwrittenBytes) {
            unwrittenBytes = bytes;
            lastActivityNanos = nowNanos;
        }
    }

    private void handle(HttpExchange exchange) {
        current = exchange;
        listener.handle(exchange);
    }

    private void onAnswered(HttpExchange exchange) {
        lastActivityNanos = clock.nowNanos();
        current = null;
        HttpExchange next = waiting.pollFirst();
        ChannelHandlerContext open = context;
        if (next != null) {
            handle(next);
        } else if (rejection.isPresent() && open != null) {
            writeRejection(open);
        }
    }

    /** Rejects the last request of this connection after those before it are answered, and reads no further. */
    private void reject(ChannelHandlerContext handlerContext, int status) {
        rejection = OptionalInt.of(status);
        handlerContext.channel().config().setAutoRead(false);
        if (current == null) {
            writeRejection(handlerContext);
        }
    }

    private void writeRejection(ChannelHandlerContext handlerContext) {
        FullHttpResponse response = HttpExchange.response(rejection.orElseThrow(), Unpooled.EMPTY_BUFFER);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        handlerContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private static int statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return HEAD_TOO_LONG;
        }
        return cause instanceof TooLongFrameException ? URI_TOO_LONG : BAD_REQUEST;
    }
}
