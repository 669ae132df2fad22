package org.bramblerack.daemon.peer;

import java.util.function.Consumer;
import org.bramblerack.wire.Envelope;

/** Takes the messages of other hosts. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Takes a message.
     *
     * @param message the message
     * @param reply sends the reply, if the message asks for one; may be called later, from any thread, once
     */
    void handle(Envelope message, Consumer<Envelope.Builder> reply);
}
