package org.bramblerack.request;

import org.bramblerack.version.UpstreamName;
import org.jspecify.annotations.Nullable;

/** One call of a query to a replica of one shard. Guarded by the query's lock. */
final class Attempt {
    /** The reason for a call: the first to its shard, a hedge of a late one, or a retry of a failed one. */
    enum Purpose {
        FIRST,
        HEDGE,
        RETRY
    }

    final int shard;
    final UpstreamName upstream;
    final String callId;
    final long sentNanos;
    final Purpose purpose;
    boolean finished;
    /** Hedging is not considered before this time. */
    long hedgeNotBeforeNanos;

    @Nullable
    LeafFailure failure;

    Attempt(int shard, UpstreamName upstream, String callId, long sentNanos, Purpose purpose) {
        this.shard = shard;
        this.upstream = upstream;
        this.callId = callId;
        this.sentNanos = sentNanos;
        this.purpose = purpose;
        this.hedgeNotBeforeNanos = sentNanos;
    }

    /** Returns when the call is due for a hedge: once it is late, but not before {@link #hedgeNotBeforeNanos}. */
    long hedgeDueNanos(long lateAfterNanos) {
        long dueNanos = sentNanos + lateAfterNanos;
        return hedgeNotBeforeNanos - dueNanos > 0 ? hedgeNotBeforeNanos : dueNanos;
    }

    boolean isHarmful() {
        return failure == LeafFailure.HARMFUL;
    }

    boolean isVersionGone() {
        return failure == LeafFailure.VERSION_GONE || failure == LeafFailure.WRONG_VERSION;
    }
}
