package org.bramblerack.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;

/** Tells a connection when a head begins to arrive and when it is whole. Owned by its event loop. */
final class RequestHeadMonitor {
    private RequestHeadMonitor() {}

    /** Stands before the decoder and sees bytes arrive. */
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

    /** Stands behind the decoder and sees whole heads. */
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
