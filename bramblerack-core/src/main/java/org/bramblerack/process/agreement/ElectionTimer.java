package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/** When a host last heard of a leader, and when it may ask for an election. Not safe for use by several threads. */
final class ElectionTimer {
    private final long electionNanos;
    private final RandomGenerator random;
    private long dueNanos;
    private long heardNanos;
    private boolean heard;

    ElectionTimer(long electionNanos, RandomGenerator random, long nowNanos) {
        this.electionNanos = electionNanos;
        this.random = random;
        restart(nowNanos);
    }

    /** Puts the next election off by a random time. */
    void restart(long nowNanos) {
        dueNanos = nowNanos + electionNanos + random.nextLong(electionNanos);
    }

    void hearLeader(long nowNanos) {
        heard = true;
        heardNanos = nowNanos;
        restart(nowNanos);
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    /** Returns true if a leader was heard of within a number of the shortest election times. */
    boolean hasHeardWithin(int elections, long nowNanos) {
        return heard && nowNanos - heardNanos < elections * electionNanos;
    }
}
