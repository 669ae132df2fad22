package org.bramblerack.daemon.leaf;

import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;

/** Is told what becomes of the calls that this host sends to leafs. Implementations are owned by the event loop. */
public interface CallWatch {
    /** Looks away. */
    CallWatch NONE = (leaf, request, outcome) -> {};

    /** Notes that a call was sent and got no whole answer. */
    void failed(Leaf leaf, LeafRequest request, LeafOutcome outcome);
}
