package org.bramblerack.process.agreement;

import org.bramblerack.wire.RaftMessage;

/**
 * Which of several voters that ask for votes at once goes first.
 *
 * <p>Only an order of convenience: a voter that does not keep to it delays an election, and elects nobody wrongly.
 * Stateless and safe for use by many threads.
 */
final class ElectionTieBreaker {
    private ElectionTieBreaker() {}

    /**
     * Returns true if a voter has begun to ask for votes itself, right after its start, and comes before the sender of
     * a request: of two with the same log it is the one with the lesser name, so that every voter helps the same one.
     */
    static boolean hasPrecedence(String self, RaftRole role, ElectionTimer timer, RaftLog log, RaftMessage request) {
        boolean isCandidate = role == RaftRole.PRE_CANDIDATE || role == RaftRole.CANDIDATE;
        boolean sameLog = request.getLastTerm() == log.lastTerm() && request.getLastIndex() == log.lastIndex();
        return isCandidate && !timer.hasHadLeaderContact() && sameLog && self.compareTo(request.getFrom()) < 0;
    }
}
