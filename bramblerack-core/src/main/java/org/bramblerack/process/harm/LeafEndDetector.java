package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tells which calls were on a leaf when it ended.
 *
 * <p>A call that breaks says little: networks reset connections, and leafs close them. Only a leaf to which no
 * connection can be made just afterwards has ended. Then every call that it had not answered was on it: those that
 * broke, those that are about to, and those that were given up a moment before, since a query that can no longer be
 * whole gives up the others. Not safe for use by several threads.
 *
 * @param <T> a call
 */
public final class LeafEndDetector<T> {
    /**
     * How long after a call was given up the end of its leaf may be of it: what leafs do with a call that they have
     * begun takes them some tens of milliseconds, and word of their end as long again.
     */
    private static final long ABANDONED_CALL_RETENTION_NANOS =
            Duration.ofMillis(250).toNanos();
    /** How many calls that were given up are remembered: more than a leaf works on and queues. */
    private static final int MAX_ABANDONED = 32;

    private final List<T> inFlight = new ArrayList<>(4);
    private final List<T> disconnected = new ArrayList<>(0);
    private final Deque<AbandonedCall<T>> abandoned = new ArrayDeque<>(0);
    private boolean suspectedByIdleClose;
    private long suspectedSinceNanos;

    /** Notes that a call was sent. */
    public void onSent(T call) {
        inFlight.add(call);
    }

    /** Notes that a call was answered, so that the leaf has survived it. */
    public void onAnswered(T call) {
        inFlight.remove(call);
    }

    /** Notes that a call was given up by this host. */
    public void onAbandoned(T call, long nowNanos) {
        if (!inFlight.remove(call)) {
            return;
        }
        abandoned.addLast(new AbandonedCall<>(call, nowNanos));
        if (abandoned.size() > MAX_ABANDONED) {
            abandoned.removeFirst();
        }
    }

    /** Notes that the connection of a call ended; whether the leaf has is to be found out by connecting to it. */
    public void onDisconnected(T call, long nowNanos) {
        if (inFlight.remove(call)) {
            markSuspected(nowNanos);
            disconnected.add(call);
        }
    }

    /**
     * Notes that a connection ended on which nothing was. Just after a call was given up that may be the end of the
     * leaf, under a call that it worked on all the same.
     */
    public void onIdleConnectionClosed(long nowNanos) {
        AbandonedCall<T> last = abandoned.peekLast();
        if (last != null && isRecent(last, nowNanos)) {
            markSuspected(nowNanos);
            suspectedByIdleClose = true;
        }
    }

    private void markSuspected(long nowNanos) {
        if (!isEndSuspected()) {
            suspectedSinceNanos = nowNanos;
        }
    }

    /** Returns true while it is to be found out whether the leaf has ended. */
    public boolean isEndSuspected() {
        return suspectedByIdleClose || !disconnected.isEmpty();
    }

    /**
     * Notes that the leaf took a connection: what broke broke for another reason. A connection that was begun before
     * the leaf came into doubt says nothing: the leaf may have taken it and ended then.
     *
     * @param connectStartNanos when the connection was begun
     */
    public void onConnected(long connectStartNanos) {
        if (isEndSuspected() && connectStartNanos - suspectedSinceNanos >= 0) {
            disconnected.clear();
            suspectedByIdleClose = false;
        }
    }

    /** Notes that the leaf takes no connections, and returns the calls that were on it, if it was in doubt. */
    public ImmutableList<T> onConnectFailed(long nowNanos) {
        if (!isEndSuspected()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<T> onLeaf =
                ImmutableList.<T>builder().addAll(disconnected).addAll(inFlight);
        for (AbandonedCall<T> next : abandoned) {
            if (isRecent(next, nowNanos)) {
                onLeaf.add(next.call());
            }
        }
        disconnected.clear();
        suspectedByIdleClose = false;
        inFlight.clear();
        abandoned.clear();
        return onLeaf.build();
    }

    private static boolean isRecent(AbandonedCall<?> call, long nowNanos) {
        return nowNanos - call.atNanos() <= ABANDONED_CALL_RETENTION_NANOS;
    }

    private record AbandonedCall<T>(T call, long atNanos) {}
}
