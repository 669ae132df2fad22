package org.bramblerack.process.agreement;

/** What a leader knows of one follower. Guarded by the node that owns it. */
final class FollowerProgress {
    long nextIndex;
    long matchIndex;
    long ackedRound;
    long lastContactNanos;
    long lastSentNanos;
    long snapshotSentNanos;
    boolean awaitingSnapshotReply;

    /** True from a refusal until an acceptance: one message at a time is sent, so that refusals do not multiply. */
    boolean probing;

    boolean probeSent;

    FollowerProgress(long nextIndex, long nowNanos) {
        this.nextIndex = nextIndex;
        this.lastContactNanos = nowNanos;
        this.lastSentNanos = nowNanos;
    }
}
