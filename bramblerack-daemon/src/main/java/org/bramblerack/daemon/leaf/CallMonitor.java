package org.bramblerack.daemon.leaf;

import com.google.common.collect.ImmutableList;
import org.bramblerack.process.leaf.LeafOutcome;

/** Permits or blocks calls to one leaf, and receives their outcomes. Implementations are owned by the event loop. */
public interface CallMonitor {
    /** Permits all calls and ignores their outcomes. */
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
        public void onLeafEnded(ImmutableList<LeafRequest> callsInFlight) {}
    };

    /** Returns true if the call may be sent to the leaf. */
    boolean maySend(LeafRequest request);

    /** Called when the leaf answered a call that it ran. */
    void onAnswered(LeafRequest request);

    /** Called when a call that was sent ended without a complete answer. */
    void onFailed(LeafRequest request, LeafOutcome outcome);

    /** Called when the leaf process is detected to have ended while the given calls were in flight. */
    void onLeafEnded(ImmutableList<LeafRequest> callsInFlight);
}
