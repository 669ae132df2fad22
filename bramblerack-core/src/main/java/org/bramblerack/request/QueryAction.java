package org.bramblerack.request;

import org.bramblerack.version.UpstreamName;

/** What a query wants done, in the order given. */
public sealed interface QueryAction {
    /**
     * Send a call to an upstream.
     *
     * @param attempt the number of the attempt, to be given back with its reply or failure
     * @param callId the identifier that the upstream must give back
     * @param upstream the upstream to ask
     * @param shard the shard to ask for
     * @param indexVersion the index version to ask for
     * @param deadlineNanos when the reply is of no use any more
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

    /** Cancel a call whose reply is of no use any more. */
    record CancelLeaf(String callId, UpstreamName upstream) implements QueryAction {}

    /** Call {@link Query#wake} at a time. */
    record Wake(long atNanos) implements QueryAction {}

    /** Count something. */
    record Count(QueryCounter counter) implements QueryAction {}

    /** Hand the answer to the caller. The query is over. */
    record Deliver(Answer answer) implements QueryAction {}

    /** Refuse the query. The query is over. */
    record Refuse(Refusal refusal) implements QueryAction {}
}
