package org.bramblerack.daemon.leaf;

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

    private final Runnable onStrayBytes;
    private boolean withoutBody;
    private boolean answerExpected;

    /**
     * Creates a decoder that expects no answer.
     *
     * @param onStrayBytes runs if bytes arrive while no answer is expected
     */
    LeafResponseDecoder(Runnable onStrayBytes) {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
        this.onStrayBytes = onStrayBytes;
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
        if (answerExpected) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            onStrayBytes.run();
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
