package org.bramblerack.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates requests. Rejects one that is too large and closes its connection, so that the rest of its body is not
 * read, however long it is.
 *
 * <p>Owned by the event loop of its channel.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private static final int CONTENT_TOO_LARGE = 413;

    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes, true);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        FullHttpResponse response = HttpExchange.response(CONTENT_TOO_LARGE, Unpooled.EMPTY_BUFFER);
        response.headers()
                .setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
