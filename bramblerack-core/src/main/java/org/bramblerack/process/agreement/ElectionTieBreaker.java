package org.bramblerack.process.agreement;

import org.bramblerack.wire.RaftMessage;

/**
 * Decides which of several simultaneous candidates gets the votes, to avoid split votes.
 *
 * <p>This only speeds up elections; safety does not depend on it. Stateless and safe for use by many threads.
 */
final class ElectionTieBreaker {
    private ElectionTieBreaker() {}

    /**
     * Returns true if this voter is itself a candidate, has had no leader contact since its start, and has precedence
     * over the sender of a vote request. Of two candidates with equal logs, the one with the lesser name has
     * precedence.
     */
    static boolean hasPrecedence(String self, RaftRole role, ElectionTimer timer, RaftLog log, RaftMessage request) {
        boolean isCandidate = role == RaftRole.PRE_CANDIDATE || role == RaftRole.CANDIDATE;
        boolean sameLog = request.getLastTerm() == log.lastTerm() && request.getLastIndex() == log.lastIndex();
        return isCandidate && !timer.hasHadLeaderContact() && sameLog && self.compareTo(request.getFrom()) < 0;
    }
}
