package org.bramblerack.daemon.leaf;

import org.bramblerack.process.leaf.LeafOutcome;

/** Takes what comes of one request to one leaf: exactly one of the two is called, on the event loop. */
public interface LeafCallback {
    /** Takes a whole answer. */
    void onAnswer(LeafAnswer answer);

    /** Takes the failure of a request that got no whole answer. */
    void onFailure(LeafOutcome outcome);
}
