package org.bramblerack.request.routed;

/** The reasons for extra attempts, and for not making them. */
public enum AttemptCounter {
    /** A first attempt was made. */
    FIRST,
    /** A late attempt was hedged. */
    HEDGE,
    /** A failed attempt was repeated. */
    RETRY,
    /** No other leaf was free for a hedge. */
    HEDGE_DENIED_NO_LEAF,
    /** Another leaf was not expected to answer sooner than the one that is overdue. */
    HEDGE_DENIED_NO_GAIN,
    /** So many shards are late that a hedge would only add to the load. */
    HEDGE_DENIED_SLOW_SERVICE,
    /** This host was behind with what had arrived, so that the answer may have been here already. */
    HEDGE_DENIED_HOST_LAG,
    /** The budget did not allow a hedge. */
    HEDGE_DENIED_BUDGET,
    /** No leaf was left for a retry. */
    RETRY_DENIED_NO_LEAF,
    /** The budget did not allow a retry. */
    RETRY_DENIED_BUDGET,
    /** The route allows no further attempt, or the request must not run again. */
    RETRY_DENIED_ATTEMPTS,
    /** Calls of the query broke on other shards too and no leaf has answered it, so that one shard asks again first. */
    RETRY_HELD_BREAKS,
    /** The second call of the query broke as well and no leaf has answered it. */
    RETRY_DENIED_BREAKS,
    /** A call of the query broke and no leaf has answered it. */
    HEDGE_DENIED_BREAKS,
    /** Requests like it ended the leafs that ran them. */
    DENIED_HARMFUL,
    /** Another host was asked to ask some shards. */
    STAGE,
    /** A host that was to ask some shards was silent for too long. */
    STAGE_SILENT,
    /** A host that was to ask some shards failed. */
    STAGE_LOST,
    /** An answer came after the request was over. */
    LATE_ANSWER
}
