package org.bramblerack.request.routed;

import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;

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

    /** How the attempt stands. */
    enum State {
        /** Nothing came of it yet. */
        UNDER_WAY,
        /** It brought the answer, or one that came too late. */
        ANSWERED,
        /** Nothing was sent to the leaf. */
        NOT_SENT,
        /** Nothing was sent, since requests like it end leafs. */
        BARRED,
        /** The leaf certainly did not run it. */
        REFUSED,
        /** It failed and may have run. */
        FAILED,
        /** This host stopped waiting for it. */
        GIVEN_UP
    }

    private final ShardRequest shard;
    private final Leaf leaf;
    private final Purpose purpose;
    private final long sentNanos;
    private final long overdueNanos;
    private State state = State.UNDER_WAY;

    /**
     * Creates an attempt that is being made.
     *
     * @param overdueNanos when it has taken so long that its leaf probably pauses
     */
    Attempt(ShardRequest shard, Leaf leaf, Purpose purpose, long sentNanos, long overdueNanos) {
        this.shard = shard;
        this.leaf = leaf;
        this.purpose = purpose;
        this.sentNanos = sentNanos;
        this.overdueNanos = overdueNanos;
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

    long overdueNanos() {
        return overdueNanos;
    }

    ShardRequest shard() {
        return shard;
    }

    /** Notes that this attempt, which was given up, had not been sent. */
    public void markNeverSent() {
        if (state == State.GIVEN_UP) {
            state = State.NOT_SENT;
        }
    }

    boolean isFinished() {
        return state != State.UNDER_WAY;
    }

    boolean isNotRun() {
        return state == State.REFUSED || isNotSent();
    }

    boolean isNotSent() {
        return state == State.NOT_SENT || state == State.BARRED;
    }

    boolean isBarred() {
        return state == State.BARRED;
    }

    State state() {
        return state;
    }

    void fail(LeafOutcome outcome) {
        if (outcome == LeafOutcome.BARRED) {
            finish(State.BARRED);
        } else if (!outcome.isSent()) {
            finish(State.NOT_SENT);
        } else {
            finish(outcome.isNotRun() ? State.REFUSED : State.FAILED);
        }
    }

    void finish(State end) {
        state = end;
    }
}
