package org.bramblerack.process.agreement;

/** The replication state of one follower, as known to the leader. Guarded by the node that owns it. */
final class FollowerProgress {
    long nextIndex;
    long matchIndex;
    long ackedRound;
    long lastContactNanos;
    long lastSentNanos;
    long snapshotSentNanos;
    boolean awaitingSnapshotReply;

    /** True from a rejected append until an accepted one; meanwhile only one append at a time is in flight. */
    boolean probing;

    boolean probeSent;

    FollowerProgress(long nextIndex, long nowNanos) {
        this.nextIndex = nextIndex;
        this.lastContactNanos = nowNanos;
        this.lastSentNanos = nowNanos;
    }
}
