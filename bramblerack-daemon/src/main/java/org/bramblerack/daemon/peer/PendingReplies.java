package org.bramblerack.daemon.peer;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.bramblerack.wire.Envelope;

/**
 * Counts the messages of other hosts that have not been replied to, so that a stop can wait for them.
 *
 * <p>A reply counts as given once it has been passed to its connection, which {@link PeerServer#stop} closes only after
 * writing it. Safe for use by many threads.
 */
public final class PendingReplies {
    private final AtomicInteger count = new AtomicInteger();

    /** Counts a message until its reply is given through the returned consumer. */
    public Consumer<Envelope.Builder> track(Consumer<Envelope.Builder> reply) {
        count.incrementAndGet();
        return message -> {
            reply.accept(message);
            count.decrementAndGet();
        };
    }

    /** Returns the number of messages without a reply. */
    public int count() {
        return count.get();
    }
}
