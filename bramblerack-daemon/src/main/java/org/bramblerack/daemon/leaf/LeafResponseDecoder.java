package org.bramblerack.daemon.leaf;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers of a leaf, with or without a body depending on the current request. Owned by its event loop. */
final class LeafResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEAD_BYTES = 32 * 1024;
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private boolean withoutBody;

    LeafResponseDecoder() {
        super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
    }

    /** Sets whether answers have no body regardless of their headers, as for a HEAD request. */
    void setWithoutBody(boolean value) {
        withoutBody = value;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return withoutBody || super.isContentAlwaysEmpty(message);
    }
}
