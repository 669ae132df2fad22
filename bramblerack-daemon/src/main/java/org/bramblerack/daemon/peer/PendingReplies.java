package org.bramblerack.daemon.peer;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramblerack.wire.Envelope;

/**
 * The messages of other hosts that have not been replied to, so that a stop can wait for them and reply to the rest.
 *
 * <p>Invariant: each message gets one reply. A reply counts as given once it has been passed to its connection, which
 * {@link PeerServer#stop} closes only after writing it. Safe for use by many threads.
 */
public final class PendingReplies {
    private final Set<PendingReply> pending = ConcurrentHashMap.newKeySet();

    /** Creates an empty set. */
    public PendingReplies() {}

    /**
     * Tracks a message until its reply is given through the returned consumer.
     *
     * @param unfinished returns the reply if this process ends first
     */
    public Consumer<Envelope.Builder> track(Consumer<Envelope.Builder> reply, Supplier<Envelope.Builder> unfinished) {
        PendingReply tracked = new PendingReply(reply, unfinished);
        pending.add(tracked);
        return tracked::give;
    }

    /** Returns the number of messages without a reply. */
    public int count() {
        return pending.size();
    }

    /** Replies to all messages that are not finished, because this process is about to end. */
    public void endAll() {
        pending.forEach(each -> each.give(each.unfinished.get()));
    }

    /** A message without a reply. */
    private final class PendingReply {
        private final Consumer<Envelope.Builder> reply;
        private final Supplier<Envelope.Builder> unfinished;
        private boolean given;

        PendingReply(Consumer<Envelope.Builder> reply, Supplier<Envelope.Builder> unfinished) {
            this.reply = reply;
            this.unfinished = unfinished;
        }

        void give(Envelope.Builder message) {
            synchronized (this) {
                if (given) {
                    return;
                }
                given = true;
            }
            reply.accept(message);
            pending.remove(this);
        }
    }
}
