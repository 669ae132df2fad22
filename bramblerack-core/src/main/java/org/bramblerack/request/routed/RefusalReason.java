package org.bramblerack.request.routed;

/** The reason why a routed request ends without an answer of a leaf. */
public enum RefusalReason {
    /** No suitable leaf accepts work; the request has not run. */
    NO_LEAF(true),
    /** Leaves accept work, but none of them is in a region that may serve the request. */
    NO_LEAF_AT_HOME(true),
    /** Every leaf that was called refused the request without running it. */
    ALL_BUSY(true),
    /** Similar requests crashed the leaves that ran them; it was not sent. */
    HARMFUL(true),
    /** Similar requests may have crashed leaves and another one is on trial; it was not sent. */
    ON_TRIAL(true),
    /** The caller presented no key of a team; it was not sent. */
    UNKNOWN_KEY(true),
    /**
     * The caller presented no key that this host knows, but the host may lack the newest configuration; it was not
     * sent.
     */
    KEY_UNDECIDED(true),
    /** The team has exceeded its rate limit; it was not sent. */
    OVER_LIMIT(true),
    /** The load of this host and the leaves leaves no time to answer it; it was not sent. */
    NO_ROOM(true),
    /** The deadline passed before any leaf was called. */
    EXPIRED(true),
    /** Too few shards answered. */
    TOO_FEW_SHARDS(false),
    /** The deadline passed while a leaf may have been running it. */
    TIME_UP(false),
    /** The connection to the leaf was lost; the request may have run. */
    OUTCOME_UNKNOWN(false);

    private final boolean notRun;

    RefusalReason(boolean notRun) {
        this.notRun = notRun;
    }

    /** Returns true if the request has certainly not run and will not run. */
    public boolean isNotRun() {
        return notRun;
    }
}
