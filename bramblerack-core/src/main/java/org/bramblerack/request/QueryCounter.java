package org.bramblerack.request;

import java.util.Locale;

/** The events of queries that are counted in the metrics. */
public enum QueryCounter {
    /** A first attempt on a shard. */
    FIRST_ATTEMPT,
    /** A second call to a shard because the first was late. */
    HEDGE,
    /** A hedge that was answered before the first attempt. */
    HEDGE_WON,
    /** A late shard that was not hedged because the retry budget was exhausted. */
    HEDGE_DENIED_BUDGET,
    /** A late shard that was not hedged because no other replica was idle. */
    HEDGE_DENIED_BUSY,
    /** Late shards that were not hedged because many shards of the service were late. */
    HEDGE_DENIED_SLOW_SERVICE,
    /** A further attempt after a failure. */
    RETRY,
    /** A failed shard that was abandoned because the retry budget was exhausted. */
    RETRY_DENIED_BUDGET,
    /** A shard that was abandoned because no replica was available. */
    RETRY_DENIED_NO_REPLICA,
    /** A failed shard that was abandoned because a retry would have ended after the deadline. */
    RETRY_DENIED_TIME,
    /** A shard that was abandoned because similar queries terminate the upstreams that run them. */
    DENIED_HARMFUL,
    /** A query restarted on a newer index version. */
    RESTART,
    /** A reply dropped because the answer was finalized or the shard already covered. */
    LATE_REPLY,
    /** A reply dropped because it failed {@link CheckedReply#check}. */
    BAD_REPLY,
    /** A call cancelled because its reply was no longer needed. */
    CANCEL;

    /** Returns the name used in metrics, such as {@code hedge-won}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
