package org.bramblerack.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bramblerack.wire.StageGrant;

/**
 * The calls of other hosts that are in flight on this host, so that they can be cancelled.
 *
 * <p>Invariant: a call is listed from its start until its reply is sent or it is cancelled. Owned by the event loop.
 */
final class StageCalls {
    private final Map<Key, Call> underWay = new HashMap<>();
    private volatile int count;

    /**
     * Records the start of a call.
     *
     * @param call ends the call early
     */
    void begin(String sender, long number, Call call) {
        underWay.put(new Key(sender, number), call);
        count = underWay.size();
    }

    /** Records that the reply of a call was sent. */
    void end(String sender, long number) {
        underWay.remove(new Key(sender, number));
        count = underWay.size();
    }

    /** Cancels a call; no effect if it has ended or never started. */
    void cancel(String sender, long number) {
        Call call = underWay.remove(new Key(sender, number));
        count = underWay.size();
        if (call != null) {
            call.cancel();
        }
    }

    /** Cancels a call unless it may have called a leaf; no effect if it has ended or never started. */
    void cancelUnlessSent(String sender, long number) {
        Key key = new Key(sender, number);
        Call call = underWay.get(key);
        if (call != null && call.cancelUnlessSent()) {
            underWay.remove(key);
            count = underWay.size();
        }
    }

    /** Passes the reply to a request for attempts to its call; no effect if that has ended. */
    void onAttemptsAnswered(String sender, StageGrant grant) {
        Call call = underWay.get(new Key(sender, grant.getCall()));
        if (call != null) {
            call.onAttemptsAnswered(grant);
        }
    }

    /** Replies to all calls now, because this host is about to end. */
    void endAll() {
        List.copyOf(underWay.values()).forEach(Call::endNow);
    }

    /** Returns the number of calls; may be called from any thread. */
    int count() {
        return count;
    }

    /** A call in flight. */
    interface Call {
        /** Ends the call without a reply, which is no longer needed. */
        void cancel();

        /** Ends the call as {@link #cancel} does if it has called no leaf, and returns true if so. */
        default boolean cancelUnlessSent() {
            return false;
        }

        /** Ends the call and replies with what is known now. */
        void endNow();

        /** Handles the reply to a request for attempts, which only queries make. */
        default void onAttemptsAnswered(StageGrant grant) {}
    }

    private record Key(String sender, long number) {}
}
