package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.event.RateBound;
import org.bramblerack.daemon.leaf.CallWatch;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * Writes a line for each call that broke at a leaf, with what was asked: the same request under the ends of many leafs
 * is told from many requests that were on leafs as they ended. Owned by the event loop.
 */
final class BrokenCallLog implements CallWatch {
    private static final EventLog EVENTS = EventLog.of(BrokenCallLog.class);
    /**
     * A leaf that ends breaks a call for each of its slots and some that wait; a few leafs a second can be followed.
     */
    private static final int LINES_A_SECOND = 20;

    private final RateBound lines;

    BrokenCallLog(MonotonicClock clock) {
        this.lines = new RateBound(clock, LINES_A_SECOND);
    }

    @Override
    public void failed(Leaf leaf, LeafRequest request, LeafOutcome outcome) {
        if (!lines.admits()) {
            return;
        }
        long leftOut = lines.takeLeftOut();
        if (leftOut > 0) {
            EVENTS.info("call_lines_left_out").with("count", leftOut).write();
        }
        EVENTS.info("call_broken")
                .with("request", request.requestId())
                .with("fingerprint", request.fingerprints().path().toString())
                .with("leaf", leaf.id())
                .with("service", leaf.service())
                .with("outcome", outcome.name())
                .write();
    }
}
