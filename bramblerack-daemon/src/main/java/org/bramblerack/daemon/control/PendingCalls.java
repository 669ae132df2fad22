package org.bramblerack.daemon.control;

import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * The proposals and reads that wait for a quorum, each under its own token.
 *
 * <p>Invariant: each call is completed exactly once. Owned by the thread of the control role.
 */
final class PendingCalls {
    private final Map<Long, UniEmitter<? super ProposalResult>> proposals = new HashMap<>();
    private final Map<Long, Read> reads = new HashMap<>();
    private long lastToken;

    /** Returns a new unique token. */
    long nextToken() {
        return ++lastToken;
    }

    /** Adds a proposal that was appended to the log. */
    void addProposal(long token, UniEmitter<? super ProposalResult> emitter) {
        proposals.put(token, emitter);
    }

    /** Adds a read that waits for a read round of the voters. */
    void addRead(long token, Runnable ready, Runnable failed) {
        reads.put(token, new Read(ready, failed));
    }

    /** Completes a proposal; no effect if the token belongs to no pending proposal. */
    void complete(long token, ProposalResult result) {
        UniEmitter<? super ProposalResult> emitter = proposals.remove(token);
        if (emitter != null) {
            emitter.complete(result);
        }
    }

    /** Completes a read whose read round a quorum confirmed. */
    void completeRead(long token) {
        Read read = reads.remove(token);
        if (read != null) {
            read.ready().run();
        }
    }

    /** Fails a read that no quorum confirmed. */
    void failRead(long token) {
        Read read = reads.remove(token);
        if (read != null) {
            read.failed().run();
        }
    }

    /** Fails every pending call. Proposals are undecided, because their entries may have been stored. */
    void failAll(String reason) {
        new ArrayList<>(proposals.keySet()).forEach(token -> complete(token, new ProposalResult.Undecided(reason)));
        new ArrayList<>(reads.keySet()).forEach(this::failRead);
    }

    private record Read(Runnable ready, Runnable failed) {}
}
