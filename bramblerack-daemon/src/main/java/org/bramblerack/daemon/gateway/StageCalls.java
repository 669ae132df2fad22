package org.bramblerack.daemon.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * The calls of other hosts that are under way here, so that they can be cancelled.
 *
 * <p>Invariant: a call is listed from when it begins until its reply is sent or it is cancelled. Owned by the event
 * loop.
 */
final class StageCalls {
    private final Map<Key, Runnable> underWay = new HashMap<>();

    /** Notes a call that begins. */
    void begin(String sender, long number, Runnable onCancel) {
        underWay.put(new Key(sender, number), onCancel);
    }

    /** Notes a call whose reply is sent. */
    void end(String sender, long number) {
        underWay.remove(new Key(sender, number));
    }

    /** Gives a call up that nobody waits for; one that is over or was never begun is nothing to give up. */
    void cancel(String sender, long number) {
        Runnable onCancel = underWay.remove(new Key(sender, number));
        if (onCancel != null) {
            onCancel.run();
        }
    }

    int count() {
        return underWay.size();
    }

    private record Key(String sender, long number) {}
}
