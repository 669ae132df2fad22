package org.bramblerack.daemon.holder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.mutiny.core.http.HttpConnection;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.connection.FramingOverhead;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection to an upstream whose response is too long, takes too long, or is mostly framing. The timeouts of
 * the HTTP client restart with every byte, and the client reads on after a timeout of its user.
 *
 * <p>Owned by the event loop of its channel.
 */
final class ResponseLimit extends ChannelDuplexHandler {
    private static final int MAX_HEADS_BYTES = 64 * 1024;

    private final long maxBodyBytes;
    private final Duration maxTime;
    private final FramingOverhead overhead = new FramingOverhead(MAX_HEADS_BYTES);
    private @Nullable ScheduledFuture<?> timeout;
    private boolean interim;

    private ResponseLimit(long maxBodyBytes, Duration maxTime) {
        this.maxBodyBytes = maxBodyBytes;
        this.maxTime = maxTime;
    }

    /** Limits the responses on a new connection. */
    static void install(HttpConnection connection, long maxBodyBytes, Duration maxTime) {
        ChannelHandlerContext client = ((ConnectionBase) connection.getDelegate()).channelHandlerContext();
        ResponseLimit limit = new ResponseLimit(maxBodyBytes, maxTime);
        client.pipeline().addFirst(limit.byteCounter());
        client.pipeline().addBefore(client.name(), null, limit);
    }

    private ChannelInboundHandlerAdapter byteCounter() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                overhead.addBytes(message instanceof ByteBuf bytes ? bytes.readableBytes() : 0);
                context.fireChannelRead(message);
                if (overhead.isExcessive() || overhead.bodyBytes() > maxBodyBytes) {
                    context.close();
                }
            }
        };
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest) {
            overhead.reset();
            cancelTimeout();
            timeout = context.executor().schedule(() -> context.close(), maxTime.toMillis(), TimeUnit.MILLISECONDS);
        }
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpContent content && content.content().isReadable()) {
            overhead.addBodyBytes(content.content().readableBytes());
        }
        if (message instanceof HttpResponse response) {
            interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        if (message instanceof LastHttpContent && !interim) {
            cancelTimeout();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimeout();
        context.fireChannelInactive();
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
