package org.bramblerack.daemon.leaf;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A channel that can tell whether its socket has input that the event loop has not read yet.
 *
 * <p>Owned by its event loop.
 */
public final class LeafChannel extends NioSocketChannel {
    /** Creates a channel that is not connected. */
    public LeafChannel() {}

    /** What a socket holds that the event loop has not read yet. */
    enum UnreadInput {
        NOTHING,
        BYTES,
        /** The remote side has closed the connection, or it has failed. */
        END
    }

    /** Returns what the socket holds. Unless that is nothing, the channel must be closed: a byte may be consumed. */
    UnreadInput unreadInput() {
        try {
            int count = javaChannel().read(ByteBuffer.allocate(1));
            if (count == 0) {
                return UnreadInput.NOTHING;
            }
            return count > 0 ? UnreadInput.BYTES : UnreadInput.END;
        } catch (IOException failed) {
            return UnreadInput.END;
        }
    }
}
