package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Detects that the process of a leaf ended, and which calls it was running.
 *
 * <p>A lost connection alone proves little: networks reset connections, and leaves close them. A leaf has ended only if
 * a new connection attempt fails as well. Then every call without an answer was running there: calls that lost their
 * connection, calls still in flight, and calls that this host abandoned just before, since a query that can no longer
 * be complete abandons its other calls. Not safe for use by several threads.
 *
 * @param <T> a call
 */
public final class LeafEndDetector<T> {
    /**
     * How long an abandoned call may still be the cause of the end of its leaf: the leaf may keep running it, and the
     * end is detected with a delay.
     */
    private static final long ABANDONED_CALL_RETENTION_NANOS =
            Duration.ofMillis(250).toNanos();
    /** The maximum number of abandoned calls to remember: more than a leaf runs and queues. */
    private static final int MAX_ABANDONED = 32;

    private final List<T> inFlight = new ArrayList<>(4);
    private final List<T> disconnected = new ArrayList<>(0);
    private final Deque<AbandonedCall<T>> abandoned = new ArrayDeque<>(0);
    private boolean suspectedByIdleClose;
    private long suspectedSinceNanos;

    public void onSent(T call) {
        inFlight.add(call);
    }

    /** Records that a call was answered, so that the leaf survived it. */
    public void onAnswered(T call) {
        inFlight.remove(call);
    }

    /** Records that this host abandoned a call. */
    public void onAbandoned(T call, long nowNanos) {
        if (!inFlight.remove(call)) {
            return;
        }
        abandoned.addLast(new AbandonedCall<>(call, nowNanos));
        if (abandoned.size() > MAX_ABANDONED) {
            abandoned.removeFirst();
        }
    }

    /** Records that the connection of a call was lost; the caller then probes the leaf with a new connection. */
    public void onDisconnected(T call, long nowNanos) {
        if (inFlight.remove(call)) {
            markSuspected(nowNanos);
            disconnected.add(call);
        }
    }

    /**
     * Records that an idle connection was closed. If a call was abandoned recently, the leaf may have ended because of
     * it.
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

    /** Returns true while it is unknown whether the leaf has ended. */
    public boolean isEndSuspected() {
        return suspectedByIdleClose || !disconnected.isEmpty();
    }

    /**
     * Records that the leaf accepted a connection and has therefore not ended. A connection attempt that began before
     * the end was suspected proves nothing and is ignored.
     *
     * @param connectStartNanos when the connection attempt began
     */
    public void onConnected(long connectStartNanos) {
        if (isEndSuspected() && connectStartNanos - suspectedSinceNanos >= 0) {
            disconnected.clear();
            suspectedByIdleClose = false;
        }
    }

    /**
     * Records that a connection attempt failed; returns the calls that the leaf was running, if its end was suspected.
     */
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
