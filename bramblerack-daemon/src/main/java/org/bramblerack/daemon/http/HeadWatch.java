package org.bramblerack.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;

/** Tells a connection when a head begins to arrive and when it is whole. Owned by its event loop. */
final class HeadWatch {
    private HeadWatch() {}

    /** Stands before the decoder and sees bytes arrive. */
    static final class Bytes extends ChannelInboundHandlerAdapter {
        private final HttpConnection connection;

        Bytes(HttpConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.headProgress(true);
            context.fireChannelRead(message);
        }
    }

    /** Stands behind the decoder and sees whole heads. */
    static final class Heads extends ChannelInboundHandlerAdapter {
        private final HttpConnection connection;

        Heads(HttpConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest) {
                connection.headProgress(false);
            }
            context.fireChannelRead(message);
        }
    }
}
