package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/** When a host last heard of a leader, and when it may ask for an election. Not safe for use by several threads. */
final class ElectionTimer {
    /** A quarter is still four round trips between the users' regions. */
    private static final int FIRST_DIVISOR = 4;

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

    /**
     * Puts the next election off by a random time, a shorter one until a leader was heard of since the start: the
     * rounds that come before an election disturb no leader, and after a stop of the whole system there is none to wait
     * for.
     */
    void restart(long nowNanos) {
        long shortestNanos = heard ? electionNanos : electionNanos / FIRST_DIVISOR;
        dueNanos = nowNanos + shortestNanos + random.nextLong(shortestNanos);
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
