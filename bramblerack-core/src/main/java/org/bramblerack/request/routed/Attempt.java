package org.bramblerack.request.routed;

import org.bramblerack.process.leaf.Leaf;

/**
 * One sending of a request to a leaf. Guarded by the request that it belongs to; compared by identity.
 *
 * <p>The sender hands it back with what came of it.
 */
public final class Attempt {
    /** Why the attempt is made. */
    public enum Purpose {
        /** The first to its shard. */
        FIRST,
        /** Because another is late. */
        HEDGE,
        /** Because another failed. */
        RETRY
    }

    private final ShardRequest shard;
    private final Leaf leaf;
    private final Purpose purpose;
    private final long sentNanos;
    private boolean finished;
    private boolean notRun;

    Attempt(ShardRequest shard, Leaf leaf, Purpose purpose, long sentNanos) {
        this.shard = shard;
        this.leaf = leaf;
        this.purpose = purpose;
        this.sentNanos = sentNanos;
    }

    /** Returns the leaf that is asked. */
    public Leaf leaf() {
        return leaf;
    }

    /** Returns why the attempt is made. */
    public Purpose purpose() {
        return purpose;
    }

    /** Returns when it was decided. */
    public long sentNanos() {
        return sentNanos;
    }

    ShardRequest shard() {
        return shard;
    }

    boolean isFinished() {
        return finished;
    }

    boolean isNotRun() {
        return notRun;
    }

    void finish(boolean certainlyNotRun) {
        finished = true;
        notRun = certainlyNotRun;
    }
}
