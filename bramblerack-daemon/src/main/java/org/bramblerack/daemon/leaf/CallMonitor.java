package org.bramblerack.daemon.leaf;

import com.google.common.collect.ImmutableList;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * Stands between this host and one leaf: says which calls may be sent, and is told what becomes of them.
 * Implementations are owned by the event loop.
 */
public interface CallMonitor {
    /** Lets everything be sent and looks away. */
    CallMonitor NONE = new CallMonitor() {
        @Override
        public boolean maySend(LeafRequest request) {
            return true;
        }

        @Override
        public void onAnswered(LeafRequest request) {}

        @Override
        public void onFailed(LeafRequest request, LeafOutcome outcome) {}

        @Override
        public void onLeafEnded(ImmutableList<LeafRequest> onIt) {}
    };

    /** Returns true if a call may be sent to the leaf. */
    boolean maySend(LeafRequest request);

    /** Notes that the leaf answered a call as one that it has run. */
    void onAnswered(LeafRequest request);

    /** Notes that a call was sent and got no whole answer. */
    void onFailed(LeafRequest request, LeafOutcome outcome);

    /** Notes that the leaf has ended with calls on it. */
    void onLeafEnded(ImmutableList<LeafRequest> onIt);
}
