package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/** When a host last heard of a leader, and when it may ask for an election. Not safe for use by several threads. */
final class ElectionTimer {
    /** A quarter is still four round trips between the users' regions. */
    private static final int STARTUP_TIMEOUT_DIVISOR = 4;
    /** Half is what a round takes between regions on processors that have just started. */
    private static final int STARTUP_ROUND_DIVISOR = 2;

    private final long electionTimeoutNanos;
    private final RandomGenerator random;
    private long dueNanos;
    /** More elections than any question about the leader looks back. */
    private static final long EXPIRED_CONTACT_TIMEOUTS = 100;

    private long lastContactNanos;
    private boolean leaderContacted;

    ElectionTimer(long electionTimeoutNanos, RandomGenerator random, long nowNanos) {
        this.electionTimeoutNanos = electionTimeoutNanos;
        this.random = random;
        restart(nowNanos);
    }

    /**
     * Puts the next election off by a random time, a shorter one until a leader was heard of since the start: the
     * rounds that come before an election disturb no leader, and after a stop of the whole system there is none to wait
     * for.
     */
    void restart(long nowNanos) {
        long minNanos = leaderContacted ? electionTimeoutNanos : electionTimeoutNanos / STARTUP_TIMEOUT_DIVISOR;
        dueNanos = nowNanos + minNanos + random.nextLong(minNanos);
    }

    /**
     * Gives this voter's own round its time, the shorter one as long as no leader was heard of: votes that come after
     * the next round has begun count for nothing.
     */
    void restartForRound(long nowNanos) {
        long minNanos = leaderContacted ? electionTimeoutNanos : electionTimeoutNanos / STARTUP_ROUND_DIVISOR;
        dueNanos = nowNanos + minNanos + random.nextLong(minNanos);
    }

    /**
     * Gives another voter the time that its election takes, if no leader was heard of since the start: after a stop of
     * the whole system every voter is ready to ask at about the same moment, on a processor that is slow at first, and
     * those that ask at once split the votes.
     */
    void deferToCandidate(long nowNanos) {
        if (!leaderContacted) {
            dueNanos = nowNanos + electionTimeoutNanos + random.nextLong(electionTimeoutNanos);
        }
    }

    /** Returns true if a leader was heard of since the start. */
    boolean hasHadLeaderContact() {
        return leaderContacted;
    }

    void recordLeaderContact(long nowNanos) {
        leaderContacted = true;
        lastContactNanos = nowNanos;
        restart(nowNanos);
    }

    /** Counts the leader as not heard of for long, whatever the steady clock says. */
    void expireLeaderContact(long nowNanos) {
        lastContactNanos = nowNanos - EXPIRED_CONTACT_TIMEOUTS * electionTimeoutNanos;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    /** Returns true if a leader was heard of within a number of the shortest election times. */
    boolean hasLeaderContactWithin(int timeouts, long nowNanos) {
        return leaderContacted && nowNanos - lastContactNanos < timeouts * electionTimeoutNanos;
    }
}
