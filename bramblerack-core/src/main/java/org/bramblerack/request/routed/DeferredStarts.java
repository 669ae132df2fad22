package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Defers requests that will be answered late in any case, so that requests that can still meet their goal start first.
 *
 * <p>After an outage callers retry all at once, and most of these retries have already passed their goal. A deferred
 * request starts when the leaves have capacity, in the order of the start limits, and at its limit even without
 * capacity. Not safe for use by several threads.
 *
 * @param <T> the type that identifies a request
 */
public final class DeferredStarts<T> {
    private final PriorityQueue<Deferred<T>> queue = new PriorityQueue<>(
            Comparator.<Deferred<T>>comparingLong(Deferred::startByNanos).thenComparingLong(Deferred::sequence));
    private long lastSequence;

    private record Deferred<T>(T request, long startByNanos, long sequence) {}

    /**
     * Defers a request.
     *
     * @param startByNanos the latest time at which the request starts
     */
    public void defer(T request, long startByNanos) {
        queue.add(new Deferred<>(request, startByNanos, ++lastSequence));
    }

    /** Removes a request whose caller disconnected. */
    public void remove(T request) {
        queue.removeIf(each -> each.request().equals(request));
    }

    /**
     * Removes and returns the requests that start now: those whose limit has been reached, and one more if the leaves
     * have capacity.
     */
    public ImmutableList<T> pollDue(boolean hasCapacity, long nowNanos) {
        ImmutableList.Builder<T> due = ImmutableList.builder();
        boolean capacityLeft = hasCapacity;
        while (!queue.isEmpty() && (capacityLeft || nowNanos - queue.peek().startByNanos() >= 0)) {
            capacityLeft &= nowNanos - queue.peek().startByNanos() >= 0;
            due.add(queue.remove().request());
        }
        return due.build();
    }

    /** Returns the request that starts next, if any is deferred. */
    public Optional<T> peek() {
        return Optional.ofNullable(queue.peek()).map(Deferred::request);
    }

    public boolean isEmpty() {
        return queue.isEmpty();
    }

    public int size() {
        return queue.size();
    }
}
