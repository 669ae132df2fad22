package org.bramblerack.daemon.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** How much is read from one connection before the event loop turns to the others. */
public final class ReadSizes {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    private static final int MAX_READS_IN_A_ROW = 4;

    private ReadSizes() {}

    /** Returns an allocator of the buffers that are read into. */
    public static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS_IN_A_ROW);
    }
}
