package org.bramblerack.request;

import org.bramblerack.version.UpstreamName;

/** An action returned by a {@link Query}, to be performed in order. */
public sealed interface QueryAction {
    /**
     * Send a call to an upstream.
     *
     * @param attempt the number of the attempt, to be passed to {@link Query#onReply} or {@link Query#onFailure}
     * @param callId the identifier that the upstream must return with its reply
     * @param upstream the upstream to call
     * @param shard the requested shard
     * @param indexVersion the requested index version
     * @param deadlineNanos when the call expires
     * @param extra true for a retry or a hedge
     */
    record SendLeaf(
            int attempt,
            String callId,
            UpstreamName upstream,
            int shard,
            long indexVersion,
            long deadlineNanos,
            boolean extra)
            implements QueryAction {}

    /** Cancel a call whose reply is no longer needed. */
    record CancelLeaf(String callId, UpstreamName upstream) implements QueryAction {}

    /** Call {@link Query#wake} at the given time. */
    record Wake(long atNanos) implements QueryAction {}

    /** Increment a counter. */
    record Count(QueryCounter counter) implements QueryAction {}

    /** Send the answer to the caller. The query has ended. */
    record Deliver(Answer answer) implements QueryAction {}

    /** Refuse the query. The query has ended. */
    record Refuse(Refusal refusal) implements QueryAction {}
}
