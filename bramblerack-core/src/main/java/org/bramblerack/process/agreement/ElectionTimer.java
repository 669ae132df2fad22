package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/** When a host last heard of a leader, and when it may ask for an election. Not safe for use by several threads. */
final class ElectionTimer {
    /** A quarter is still four round trips between the users' regions. */
    private static final int FIRST_DIVISOR = 4;
    /** Half is what a round takes between regions on processors that have just started. */
    private static final int ROUND_DIVISOR = 2;

    private final long electionNanos;
    private final RandomGenerator random;
    private long dueNanos;
    /** More elections than any question about the leader looks back. */
    private static final long LONG_AGO_ELECTIONS = 100;

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

    /**
     * Gives this voter's own round its time, the shorter one as long as no leader was heard of: votes that come after
     * the next round has begun count for nothing.
     */
    void awaitRound(long nowNanos) {
        long shortestNanos = heard ? electionNanos : electionNanos / ROUND_DIVISOR;
        dueNanos = nowNanos + shortestNanos + random.nextLong(shortestNanos);
    }

    /**
     * Gives another voter the time that its election takes, if no leader was heard of since the start: after a stop of
     * the whole system every voter is ready to ask at about the same moment, on a processor that is slow at first, and
     * those that ask at once split the votes.
     */
    void giveWay(long nowNanos) {
        if (!heard) {
            dueNanos = nowNanos + electionNanos + random.nextLong(electionNanos);
        }
    }

    /** Returns true if a leader was heard of since the start. */
    boolean hasHeardLeader() {
        return heard;
    }

    void hearLeader(long nowNanos) {
        heard = true;
        heardNanos = nowNanos;
        restart(nowNanos);
    }

    /** Counts the leader as not heard of for long, whatever the steady clock says. */
    void forgetLeader(long nowNanos) {
        heardNanos = nowNanos - LONG_AGO_ELECTIONS * electionNanos;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    /** Returns true if a leader was heard of within a number of the shortest election times. */
    boolean hasHeardWithin(int elections, long nowNanos) {
        return heard && nowNanos - heardNanos < elections * electionNanos;
    }
}
