package org.bramblerack.request;

import java.util.Locale;

/** What the query path counts; each has a counter of its own in the metrics. */
public enum QueryCounter {
    /** A first attempt on a shard. */
    FIRST_ATTEMPT,
    /** A second attempt because the first was late. */
    HEDGE,
    /** A hedge whose reply came first. */
    HEDGE_WON,
    /** A late shard that was not hedged because the budget was spent. */
    HEDGE_DENIED_BUDGET,
    /** A late shard that was not hedged because no other replica was idle. */
    HEDGE_DENIED_BUSY,
    /** Late shards that were not hedged because the service as a whole was slow. */
    HEDGE_DENIED_SLOW_SERVICE,
    /** Another attempt after a failure. */
    RETRY,
    /** A failed shard that was given up because the budget was spent. */
    RETRY_DENIED_BUDGET,
    /** A failed shard that was given up because no replica was left. */
    RETRY_DENIED_NO_REPLICA,
    /** A failed shard that was given up because the time was too short. */
    RETRY_DENIED_TIME,
    /** A shard that was given up because requests like the query end upstreams. */
    DENIED_HARMFUL,
    /** A query begun again on a newer index version. */
    RESTART,
    /** A reply dropped because it came after the answer was sealed, or for a shard that was covered. */
    LATE_REPLY,
    /** A reply dropped because it did not pass the checks. */
    BAD_REPLY,
    /** A call cancelled because its reply was of no use any more. */
    CANCEL;

    /** Returns the name used in metrics, such as {@code hedge-won}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
