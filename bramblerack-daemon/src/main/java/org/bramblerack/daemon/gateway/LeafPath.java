package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.leaf.Leaf;

/** A way for a request to reach a leaf. Implementations are owned by the event loop. */
@FunctionalInterface
interface LeafPath {
    /**
     * Sends a request to a leaf.
     *
     * @param deadlineNanos when the sender stops waiting
     * @param listener takes what comes of it
     * @return what to call to give the request up
     */
    LeafConnections.CallHandle send(Leaf leaf, LeafRequest request, long deadlineNanos, LeafCallback listener);
}
