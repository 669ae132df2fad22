package org.bramblerack.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;

/** Notifies a connection when bytes arrive and when a request head is complete. Owned by its event loop. */
final class RequestHeadMonitor {
    private RequestHeadMonitor() {}

    /** Placed before the decoder in the pipeline, to detect incoming bytes. */
    static final class BeforeDecoder extends ChannelInboundHandlerAdapter {
        private final HttpConnection connection;

        BeforeDecoder(HttpConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.onHeadProgress(true);
            context.fireChannelRead(message);
        }
    }

    /** Placed after the decoder in the pipeline, to detect complete request heads. */
    static final class AfterDecoder extends ChannelInboundHandlerAdapter {
        private final HttpConnection connection;

        AfterDecoder(HttpConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest) {
                connection.onHeadProgress(false);
            }
            context.fireChannelRead(message);
        }
    }
}
