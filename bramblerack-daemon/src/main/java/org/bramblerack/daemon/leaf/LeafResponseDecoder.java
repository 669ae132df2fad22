package org.bramblerack.daemon.leaf;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes answers of a leaf, with or without a body depending on the current request.
 *
 * <p>Invariant: bytes that arrive while no answer is expected are never decoded. Owned by its event loop.
 */
final class LeafResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private final Listener listener;
    private boolean withoutBody;
    private boolean answerExpected;

    /** Receives what is not part of a decoded message. */
    interface Listener {
        /** Called if bytes arrive while no answer is expected. */
        void onStrayBytes();

        /** Called before bytes are decoded that arrived while an answer is expected. */
        void onBytes(int count);

        /** Called after these bytes were decoded. */
        void onBytesDecoded(int count);
    }

    /** Creates a decoder that expects no answer. */
    LeafResponseDecoder(Listener listener) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.listener = listener;
    }

    /**
     * Expects an answer.
     *
     * @param hasNoBody true if it has no body regardless of its headers, as for a HEAD request
     */
    void expectAnswer(boolean hasNoBody) {
        answerExpected = true;
        withoutBody = hasNoBody;
    }

    /** Expects nothing more, and returns true if undecoded bytes are left. */
    boolean endAnswer() {
        answerExpected = false;
        return actualReadableBytes() > 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!answerExpected) {
            ReferenceCountUtil.release(message);
            listener.onStrayBytes();
            return;
        }
        int count = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        listener.onBytes(count);
        super.channelRead(context, message);
        listener.onBytesDecoded(count);
    }

    /** Rejects an answer with both a length and chunks: the leaf and this host could disagree about its end. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the answer has both a Content-Length and a Transfer-Encoding field");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
