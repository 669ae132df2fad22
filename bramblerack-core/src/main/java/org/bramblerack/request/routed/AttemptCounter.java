package org.bramblerack.request.routed;

/** Counters of attempts, and of the reasons for not making extra ones. */
public enum AttemptCounter {
    FIRST,
    /** A late attempt was hedged at another leaf. */
    HEDGE,
    /** A failed attempt was retried. */
    RETRY,
    /** No other leaf was available for a hedge. */
    HEDGE_DENIED_NO_LEAF,
    /** No other leaf was expected to answer sooner than the overdue one. */
    HEDGE_DENIED_NO_GAIN,
    /** So many shards were late that hedges would only add to the load. */
    HEDGE_DENIED_SLOW_SERVICE,
    /** This host lagged in reading, so that the answer may have arrived already. */
    HEDGE_DENIED_HOST_LAG,
    /** The budget of extra attempts did not permit a hedge. */
    HEDGE_DENIED_BUDGET,
    /** No leaf was available for an attempt or retry. */
    RETRY_DENIED_NO_LEAF,
    /** The budget of extra attempts did not permit a retry. */
    RETRY_DENIED_BUDGET,
    /** The route permits no further attempt, or the request must not run again. */
    RETRY_DENIED_ATTEMPTS,
    /**
     * Calls of the query were disconnected before any leaf answered, so that the shard waits for the retry of another
     * one.
     */
    RETRY_HELD_BREAKS,
    /** The retry of the query was disconnected too before any leaf answered. */
    RETRY_DENIED_BREAKS,
    /** A call of the query was disconnected before any leaf answered. */
    HEDGE_DENIED_BREAKS,
    /** The request is quarantined because similar requests crashed the leaves that ran them. */
    DENIED_HARMFUL,
    /** Shards were delegated to another host. */
    STAGE,
    /** A host that shards were delegated to was silent for too long. */
    STAGE_SILENT,
    /** A host that shards were delegated to failed. */
    STAGE_LOST,
    /** An attempt was requested from the host that delegated the query. */
    ATTEMPT_REQUESTED,
    /** An attempt was handed over to a delegate that requested it. */
    ATTEMPT_HANDED_OVER,
    /** No attempt was left for a delegate that requested it. */
    ATTEMPT_DENIED,
    /** This host and the host that a shard was delegated to made more attempts than the route permits. */
    ATTEMPTS_EXCEEDED,
    /** An answer arrived after the request had finished. */
    LATE_ANSWER
}
