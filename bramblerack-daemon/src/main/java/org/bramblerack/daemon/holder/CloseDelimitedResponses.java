package org.bramblerack.daemon.holder;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.mutiny.core.http.HttpConnection;

/**
 * Keeps the HTTP client from sending another request on a connection whose end delimits a response. Without a
 * {@code Connection: close} of the upstream, the client returns the connection to its pool before it sees that it is
 * closed.
 *
 * <p>Owned by the event loop of its channel.
 */
final class CloseDelimitedResponses extends ChannelInboundHandlerAdapter {
    private CloseDelimitedResponses() {}

    /** Watches the responses on a new connection. */
    static void install(HttpConnection connection) {
        ChannelHandlerContext client = ((ConnectionBase) connection.getDelegate()).channelHandlerContext();
        client.pipeline().addBefore(client.name(), null, new CloseDelimitedResponses());
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response && isDelimitedByClose(response)) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        context.fireChannelRead(message);
    }

    private static boolean isDelimitedByClose(HttpResponse response) {
        return !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response)
                && response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.NO_CONTENT)
                && !response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
