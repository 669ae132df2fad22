package org.bramblerack.daemon.peer;

import java.util.function.Consumer;
import org.bramblerack.wire.Envelope;

/** Handles the messages of other hosts. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a message.
     *
     * @param reply sends the reply, if the message expects one; may be called later, from any thread, once
     */
    void handle(Envelope message, Consumer<Envelope.Builder> reply);
}
