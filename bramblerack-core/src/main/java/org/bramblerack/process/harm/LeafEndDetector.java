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
    private static final long AFTER_GIVING_UP_NANOS = Duration.ofMillis(250).toNanos();
    /** How many calls that were given up are remembered: more than a leaf works on and queues. */
    private static final int MAX_GIVEN_UP = 32;

    private final List<T> atWork = new ArrayList<>(4);
    private final List<T> broken = new ArrayList<>(0);
    private final Deque<GivenUp<T>> onAbandoned = new ArrayDeque<>(0);
    private boolean inDoubtWithoutBreak;
    private long inDoubtSinceNanos;

    /** Notes that a call was sent. */
    public void onSent(T call) {
        atWork.add(call);
    }

    /** Notes that a call was answered, so that the leaf has survived it. */
    public void onAnswered(T call) {
        atWork.remove(call);
    }

    /** Notes that a call was given up by this host. */
    public void onAbandoned(T call, long nowNanos) {
        if (!atWork.remove(call)) {
            return;
        }
        onAbandoned.addLast(new GivenUp<>(call, nowNanos));
        if (onAbandoned.size() > MAX_GIVEN_UP) {
            onAbandoned.removeFirst();
        }
    }

    /** Notes that the connection of a call ended; whether the leaf has is to be found out by connecting to it. */
    public void onDisconnected(T call, long nowNanos) {
        if (atWork.remove(call)) {
            doubt(nowNanos);
            broken.add(call);
        }
    }

    /**
     * Notes that a connection ended on which nothing was. Just after a call was given up that may be the end of the
     * leaf, under a call that it worked on all the same.
     */
    public void onIdleConnectionClosed(long nowNanos) {
        GivenUp<T> last = onAbandoned.peekLast();
        if (last != null && isOfLate(last, nowNanos)) {
            doubt(nowNanos);
            inDoubtWithoutBreak = true;
        }
    }

    private void doubt(long nowNanos) {
        if (!isEndSuspected()) {
            inDoubtSinceNanos = nowNanos;
        }
    }

    /** Returns true while it is to be found out whether the leaf has ended. */
    public boolean isEndSuspected() {
        return inDoubtWithoutBreak || !broken.isEmpty();
    }

    /**
     * Notes that the leaf took a connection: what broke broke for another reason. A connection that was begun before
     * the leaf came into doubt says nothing: the leaf may have taken it and ended then.
     *
     * @param begunNanos when the connection was begun
     */
    public void onConnected(long begunNanos) {
        if (isEndSuspected() && begunNanos - inDoubtSinceNanos >= 0) {
            broken.clear();
            inDoubtWithoutBreak = false;
        }
    }

    /** Notes that the leaf takes no connections, and returns the calls that were on it, if it was in doubt. */
    public ImmutableList<T> onConnectFailed(long nowNanos) {
        if (!isEndSuspected()) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<T> onIt =
                ImmutableList.<T>builder().addAll(broken).addAll(atWork);
        for (GivenUp<T> next : onAbandoned) {
            if (isOfLate(next, nowNanos)) {
                onIt.add(next.call());
            }
        }
        broken.clear();
        inDoubtWithoutBreak = false;
        atWork.clear();
        onAbandoned.clear();
        return onIt.build();
    }

    private static boolean isOfLate(GivenUp<?> call, long nowNanos) {
        return nowNanos - call.atNanos() <= AFTER_GIVING_UP_NANOS;
    }

    private record GivenUp<T>(T call, long atNanos) {}
}
