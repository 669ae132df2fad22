package org.bramblerack.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates requests. One that is too large is not passed on; a {@link TooLarge} event takes its place.
 *
 * <p>Owned by the event loop of its channel.
 */
final class RequestAggregator extends HttpObjectAggregator {
    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes, true);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        context.fireUserEventTriggered(TooLarge.INSTANCE);
    }

    /** Reports that the body of a request exceeds the limit. */
    enum TooLarge {
        INSTANCE
    }
}
