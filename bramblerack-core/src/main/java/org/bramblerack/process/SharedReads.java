package org.bramblerack.process;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * Coalesces concurrent requests for the same value into one read.
 *
 * <p>At most one read is in progress, however many callers wait. Invariant: a read serves only the callers that were
 * waiting before it began, so that nobody gets a value from before its request. Not safe for use by several threads.
 *
 * @param <W> a waiting caller
 */
public final class SharedReads<W> {
    private final int maxWaiting;
    private List<W> current = new ArrayList<>();
    private List<W> next = new ArrayList<>();
    private boolean inProgress;

    /**
     * Creates an instance without a read in progress.
     *
     * @param maxWaiting how many callers may wait for the next read
     */
    public SharedReads(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /** Adds a caller that waits for the next read; returns false if too many wait. */
    public boolean await(W waiter) {
        return next.size() < maxWaiting && next.add(waiter);
    }

    /**
     * Begins a read if a caller waits and no read is in progress; returns true if the caller of this method has to
     * perform it.
     */
    public boolean begin() {
        if (inProgress || next.isEmpty()) {
            return false;
        }
        inProgress = true;
        current = next;
        next = new ArrayList<>();
        return true;
    }

    /** Removes and returns the callers that the current read serves. */
    public ImmutableList<W> takeWaiters() {
        ImmutableList<W> done = ImmutableList.copyOf(current);
        current = new ArrayList<>();
        return done;
    }

    /** Ends the current read, so that the next one may begin. */
    public void end() {
        inProgress = false;
    }
}
