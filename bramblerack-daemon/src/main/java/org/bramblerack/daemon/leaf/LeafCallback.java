package org.bramblerack.daemon.leaf;

import org.bramblerack.process.leaf.LeafOutcome;

/** Receives the result of one request to one leaf. Exactly one method is called, once, on the event loop. */
public interface LeafCallback {
    /** Called with a complete answer. */
    void onAnswer(LeafAnswer answer);

    /** Called if the request ended without a complete answer. */
    void onFailure(LeafOutcome outcome);
}
