package org.bramblerack.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Closes a connection without losing bytes that were written to it. The first handler of a pipeline.
 *
 * <p>A close writes what is pending, shuts down the output, and then discards the input until the remote side has
 * closed too. Closing the socket at once would fail the pending writes and, if unread input is left, reset the
 * connection, which can make the remote side lose bytes that it has not read yet. The connection is closed within a
 * limited time after the first call, and after a limited number of bytes, whatever the remote side does.
 *
 * <p>Owned by the event loop of its channel.
 */
public final class LingeringClose extends ChannelDuplexHandler {
    private static final int MAX_DISCARDED_BYTES = 1024 * 1024;

    private final Duration maxLinger;
    private long discardedBytes;
    private boolean closing;
    private @Nullable ScheduledFuture<?> timeout;

    /**
     * Creates a handler for one channel.
     *
     * @param maxLinger the maximum time between the first call to close the channel and its end
     */
    public LingeringClose(Duration maxLinger) {
        this.maxLinger = maxLinger;
    }

    /** Closes a channel at once, without lingering. */
    public static void closeNow(Channel channel) {
        channel.eventLoop().execute(() -> channel.unsafe().close(channel.voidPromise()));
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
        if (!context.channel().isActive() || !(context.channel() instanceof DuplexChannel channel)) {
            context.close(promise);
            return;
        }
        channel.closeFuture().addListener(closed -> promise.trySuccess());
        if (closing) {
            return;
        }
        closing = true;
        timeout = context.executor().schedule(() -> closeNow(channel), maxLinger.toMillis(), TimeUnit.MILLISECONDS);
        // Completes once everything that was written before has been passed to the socket.
        context.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener((ChannelFuture written) -> shutdownOutput(channel, written.isSuccess()));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (closing) {
            ReferenceCountUtil.release(message);
            promise.tryFailure(new ClosedChannelException());
        } else {
            context.write(message, promise);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (closing) {
            discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            ReferenceCountUtil.release(message);
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                closeNow(context.channel());
            }
        } else {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        context.fireChannelInactive();
    }

    private static void shutdownOutput(DuplexChannel channel, boolean written) {
        if (!written) {
            closeNow(channel);
            return;
        }
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
    }
}
