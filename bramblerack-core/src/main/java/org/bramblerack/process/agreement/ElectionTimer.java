package org.bramblerack.process.agreement;

import java.util.random.RandomGenerator;

/**
 * Tracks the last contact with a leader and the time of the next election.
 *
 * <p>Until a first leader contact, election timeouts are shorter: after a restart of the whole cluster there is no
 * leader to wait for. Not safe for use by several threads.
 */
final class ElectionTimer {
    private static final int STARTUP_TIMEOUT_DIVISOR = 4;
    private static final int STARTUP_ROUND_DIVISOR = 2;

    private final long electionTimeoutNanos;
    private final RandomGenerator random;
    private long dueNanos;
    /** Larger than any number of timeouts passed to {@link #hasLeaderContactWithin}. */
    private static final long EXPIRED_CONTACT_TIMEOUTS = 100;

    private long lastContactNanos;
    private boolean leaderContacted;

    ElectionTimer(long electionTimeoutNanos, RandomGenerator random, long nowNanos) {
        this.electionTimeoutNanos = electionTimeoutNanos;
        this.random = random;
        restart(nowNanos);
    }

    /**
     * Restarts the timer with a random timeout. The timeout is shorter until the first leader contact, which is safe
     * because the pre-vote does not disturb a leader.
     */
    void restart(long nowNanos) {
        long minNanos = leaderContacted ? electionTimeoutNanos : electionTimeoutNanos / STARTUP_TIMEOUT_DIVISOR;
        dueNanos = nowNanos + minNanos + random.nextLong(minNanos);
    }

    /**
     * Restarts the timer for a round of votes that this voter requests. Votes that arrive after the timeout are not
     * counted, since the next round has started.
     */
    void restartForRound(long nowNanos) {
        long minNanos = leaderContacted ? electionTimeoutNanos : electionTimeoutNanos / STARTUP_ROUND_DIVISOR;
        dueNanos = nowNanos + minNanos + random.nextLong(minNanos);
    }

    /**
     * Waits a full timeout for the election of another candidate, unless there was a leader contact before. Avoids
     * split votes when all voters start at about the same time.
     */
    void deferToCandidate(long nowNanos) {
        if (!leaderContacted) {
            dueNanos = nowNanos + electionTimeoutNanos + random.nextLong(electionTimeoutNanos);
        }
    }

    /** Returns true if a leader has contacted this voter since its start. */
    boolean hasHadLeaderContact() {
        return leaderContacted;
    }

    void recordLeaderContact(long nowNanos) {
        leaderContacted = true;
        lastContactNanos = nowNanos;
        restart(nowNanos);
    }

    /** Marks the last leader contact as expired, for example after a suspension that the clock does not count. */
    void expireLeaderContact(long nowNanos) {
        lastContactNanos = nowNanos - EXPIRED_CONTACT_TIMEOUTS * electionTimeoutNanos;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    /** Returns true if the last leader contact is less than the given number of election timeouts ago. */
    boolean hasLeaderContactWithin(int timeouts, long nowNanos) {
        return leaderContacted && nowNanos - lastContactNanos < timeouts * electionTimeoutNanos;
    }
}
