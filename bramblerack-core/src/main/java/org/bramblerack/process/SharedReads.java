package org.bramblerack.process;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;

/**
 * Has those who ask for the same thing at about the same time share one read of it.
 *
 * <p>Load: many callers who show keys that are not known, each of which asks what the newest version is. At most one
 * read is under way, however many ask. Invariant: a read answers only those who asked before it began, so that nobody
 * learns of a state from before the question. Not safe for use by several threads.
 *
 * @param <W> who waits
 */
public final class SharedReads<W> {
    private final int maxWaiting;
    private List<W> current = new ArrayList<>();
    private List<W> next = new ArrayList<>();
    private boolean inProgress;

    /**
     * Creates reads of which none is under way.
     *
     * @param maxWaiting how many may wait for the next read, which bounds the memory that they take
     */
    public SharedReads(int maxWaiting) {
        this.maxWaiting = maxWaiting;
    }

    /** Adds one who waits for a read that begins from now on; returns false if too many wait. */
    public boolean await(W waiter) {
        return next.size() < maxWaiting && next.add(waiter);
    }

    /** Begins a read if somebody waits and none is under way; returns true if the caller is to carry it out. */
    public boolean begin() {
        if (inProgress || next.isEmpty()) {
            return false;
        }
        inProgress = true;
        current = next;
        next = new ArrayList<>();
        return true;
    }

    /** Returns whom the read that was begun answers, once. */
    public ImmutableList<W> takeWaiters() {
        ImmutableList<W> done = ImmutableList.copyOf(current);
        current = new ArrayList<>();
        return done;
    }

    /** Lets the next read begin. */
    public void end() {
        inProgress = false;
    }
}
