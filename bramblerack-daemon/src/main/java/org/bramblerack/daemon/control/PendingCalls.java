package org.bramblerack.daemon.control;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * The proposals and reads that wait for the agreement, each under a token of its own.
 *
 * <p>Invariant: each call ends exactly once. Owned by the thread of the control role.
 */
final class PendingCalls {
    private final Map<Long, UniEmitter<? super ProposalResult>> proposals = new HashMap<>();
    private final Map<Long, Read> reads = new HashMap<>();
    private long lastToken;

    /** Returns a token that no other call has. */
    long nextToken() {
        return ++lastToken;
    }

    /** Notes a proposal that was taken into the log. */
    void addProposal(long token, UniEmitter<? super ProposalResult> emitter) {
        proposals.put(token, emitter);
    }

    /** Notes a read that waits for a round of the voters. */
    void addRead(long token, Runnable ready, Runnable failed) {
        reads.put(token, new Read(ready, failed));
    }

    /** Ends a proposal, if it is one of this role's. */
    void complete(long token, ProposalResult result) {
        UniEmitter<? super ProposalResult> emitter = proposals.remove(token);
        if (emitter != null) {
            emitter.complete(result);
        }
    }

    /** Ends a read whose round has come back. */
    void completeRead(long token) {
        Read read = reads.remove(token);
        if (read != null) {
            read.ready().run();
        }
    }

    /** Ends a read that cannot be answered for certain. */
    void failRead(long token) {
        Read read = reads.remove(token);
        if (read != null) {
            read.failed().run();
        }
    }

    /** Ends every call without a result; proposals may have been stored. */
    void failAll(String reason) {
        new ArrayList<>(proposals.keySet()).forEach(token -> complete(token, new ProposalResult.Undecided(reason)));
        new ArrayList<>(reads.keySet()).forEach(this::failRead);
    }

    private record Read(Runnable ready, Runnable failed) {}
}
