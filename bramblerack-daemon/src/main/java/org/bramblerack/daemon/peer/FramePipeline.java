package org.bramblerack.daemon.peer;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import java.util.function.Supplier;
import org.bramblerack.wire.Envelope;

/**
 * Sets up the channel handlers of a connection that carries length-prefixed protobuf frames. Immutable and safe for use
 * by many threads.
 */
final class FramePipeline extends ChannelInitializer<SocketChannel> {
    /** The maximum frame size in bytes; a longer frame closes the connection. */
    static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private final Supplier<ChannelHandler> messageHandler;

    FramePipeline(Supplier<ChannelHandler> messageHandler) {
        this.messageHandler = messageHandler;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
        channel.pipeline()
                .addLast(new FlushConsolidationHandler())
                .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                .addLast(new ProtobufEncoder())
                .addLast(messageHandler.get());
    }
}
