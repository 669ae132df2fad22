package org.bramblerack.request.routed;

import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;

/**
 * One attempt to run a request at a leaf. Guarded by the request that it belongs to; compared by identity.
 *
 * <p>The sender passes it back to the request with its outcome.
 */
public final class Attempt {
    /** The reason for an attempt. The names appear in log lines and counters. */
    public enum Purpose {
        /** The first attempt of its shard. */
        FIRST,
        /** A hedge of a late attempt. */
        HEDGE,
        /** A retry of a failed attempt. */
        RETRY
    }

    /** The state of an attempt. The names appear in log lines. */
    enum State {
        /** In flight. */
        UNDER_WAY,
        /** It returned an answer, possibly too late to be used. */
        ANSWERED,
        /** It was not sent. */
        NOT_SENT,
        /** It was not sent because the request is quarantined. */
        BARRED,
        /** The leaf has certainly not run it. */
        REFUSED,
        /** It failed and may have run. */
        FAILED,
        /** This host abandoned it. */
        GIVEN_UP
    }

    private final ShardRequest shard;
    private final Leaf leaf;
    private final Purpose purpose;
    private final long sentNanos;
    private final long overdueNanos;
    private State state = State.UNDER_WAY;

    /**
     * Creates an attempt in flight.
     *
     * @param overdueNanos the time after which the leaf is probably paused
     */
    Attempt(ShardRequest shard, Leaf leaf, Purpose purpose, long sentNanos, long overdueNanos) {
        this.shard = shard;
        this.leaf = leaf;
        this.purpose = purpose;
        this.sentNanos = sentNanos;
        this.overdueNanos = overdueNanos;
    }

    public Leaf leaf() {
        return leaf;
    }

    public Purpose purpose() {
        return purpose;
    }

    /** Returns when the attempt was decided, which may be some time before it was sent. */
    public long sentNanos() {
        return sentNanos;
    }

    long overdueNanos() {
        return overdueNanos;
    }

    ShardRequest shard() {
        return shard;
    }

    /** Records that this attempt, which was abandoned, had not been sent. */
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

    boolean isQuarantined() {
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

    void finish(State finalState) {
        state = finalState;
    }
}
