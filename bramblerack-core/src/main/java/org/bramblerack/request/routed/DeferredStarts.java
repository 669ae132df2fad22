package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Holds back requests whose answers will be late in any case, so that those that can still be in time go first.
 *
 * <p>After a spell in which nobody was served, callers come back all at once, most of them with a try whose goal has
 * passed. Such a request starts when the leafs have room for it, the one with the nearest limit first, and at its limit
 * whether they have or not. Not safe for use by several threads.
 *
 * @param <T> what stands for a request
 */
public final class DeferredStarts<T> {
    private final PriorityQueue<Held<T>> held = new PriorityQueue<>(
            Comparator.<Held<T>>comparingLong(Held::startByNanos).thenComparingLong(Held::number));
    private long lastNumber;

    private record Held<T>(T request, long startByNanos, long number) {}

    /**
     * Holds a request back.
     *
     * @param startByNanos when it starts at the latest
     */
    public void defer(T request, long startByNanos) {
        held.add(new Held<>(request, startByNanos, ++lastNumber));
    }

    /** Forgets a request whose caller went away. */
    public void remove(T request) {
        held.removeIf(each -> each.request().equals(request));
    }

    /**
     * Returns the requests that start now, which are not held any more: those whose limit has come, and one more if the
     * leafs have room.
     */
    public ImmutableList<T> pollDue(boolean room, long nowNanos) {
        ImmutableList.Builder<T> due = ImmutableList.builder();
        boolean roomLeft = room;
        while (!held.isEmpty() && (roomLeft || nowNanos - held.peek().startByNanos() >= 0)) {
            roomLeft &= nowNanos - held.peek().startByNanos() >= 0;
            due.add(held.remove().request());
        }
        return due.build();
    }

    /** Returns the request that starts next, if one is held. */
    public Optional<T> peek() {
        return Optional.ofNullable(held.peek()).map(Held::request);
    }

    /** Returns true if no request is held. */
    public boolean isEmpty() {
        return held.isEmpty();
    }

    /** Returns how many requests are held. */
    public int size() {
        return held.size();
    }
}
