package org.bramblerack.daemon.leaf;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the answers of a leaf, knowing whether the present request allows a body. Owned by its event loop. */
final class LeafResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private boolean withoutBody;

    LeafResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
    }

    /** States whether answers have no body whatever their head says. */
    void setWithoutBody(boolean value) {
        withoutBody = value;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
