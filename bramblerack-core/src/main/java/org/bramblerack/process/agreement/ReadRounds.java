package org.bramblerack.process.agreement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Reads that wait for a quorum to confirm that this host is still the leader.
 *
 * <p>Reads that arrive between two flushes share a round of confirmations. Not safe for use by several threads.
 */
final class ReadRounds {
    private final Deque<Read> waiting = new ArrayDeque<>();
    private long round;
    private boolean hasNewReads;

    void add(long token, long commitIndex) {
        waiting.addLast(new Read(token, round + 1, commitIndex));
        hasNewReads = true;
    }

    /** Starts a round if reads arrived since the last one; returns true if it did. */
    boolean beginRound() {
        if (!hasNewReads) {
            return false;
        }
        hasNewReads = false;
        round++;
        return true;
    }

    long currentRound() {
        return round;
    }

    void confirm(long confirmedRound, long appliedIndex, List<RaftAction> actions) {
        while (!waiting.isEmpty()
                && waiting.getFirst().round() <= confirmedRound
                && waiting.getFirst().commitIndex() <= appliedIndex) {
            actions.add(new RaftAction.ReadReady(waiting.removeFirst().token()));
        }
    }

    void failAll(List<RaftAction> actions) {
        waiting.forEach(read -> actions.add(new RaftAction.ReadFailed(read.token())));
        waiting.clear();
        hasNewReads = false;
    }

    private record Read(long token, long round, long commitIndex) {}
}
