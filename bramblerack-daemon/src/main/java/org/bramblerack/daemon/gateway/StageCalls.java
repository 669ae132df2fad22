package org.bramblerack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The calls of other hosts that are in flight on this host, so that they can be cancelled.
 *
 * <p>Invariant: a call is listed from its start until its reply is sent or it is cancelled. Owned by the event loop.
 */
final class StageCalls {
    private final Map<Key, Runnable> underWay = new HashMap<>();
    private volatile int count;

    /**
     * Records the start of a call.
     *
     * @param onCancel runs if the call is cancelled
     */
    void begin(String sender, long number, Runnable onCancel) {
        underWay.put(new Key(sender, number), onCancel);
        count = underWay.size();
    }

    /** Records that the reply of a call was sent. */
    void end(String sender, long number) {
        underWay.remove(new Key(sender, number));
        count = underWay.size();
    }

    /** Cancels a call; no effect if it has ended or never started. */
    void cancel(String sender, long number) {
        Runnable onCancel = underWay.remove(new Key(sender, number));
        count = underWay.size();
        if (onCancel != null) {
            onCancel.run();
        }
    }

    /** Returns the number of calls; may be called from any thread. */
    int count() {
        return count;
    }

    private record Key(String sender, long number) {}
}
