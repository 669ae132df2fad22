package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.leaf.Leaf;

/** A network path for calls to leaves. Implementations are owned by the event loop. */
@FunctionalInterface
interface LeafPath {
    /**
     * Sends a request to a leaf.
     *
     * @param deadlineNanos when the sender stops waiting
     * @param callback receives the result
     * @return a handle to abandon the call
     */
    LeafConnections.CallHandle send(Leaf leaf, LeafRequest request, long deadlineNanos, LeafCallback callback);
}
