package org.bramblerack.request.routed;

/** Why a routed request ends without an answer of a leaf. */
public enum RefusalReason {
    /** No leaf that could run it takes work; it has not run. */
    NO_LEAF(true),
    /** Leafs take work, but none of them is in a region that may serve the request. */
    NO_LEAF_AT_HOME(true),
    /** Every leaf that was asked said that it did not run it. */
    ALL_BUSY(true),
    /** Requests like it ended the leafs that ran them, so that it was sent to none. */
    HARMFUL(true),
    /** Requests like it may have ended leafs, and another of them is being tried; it was sent to none. */
    ON_TRIAL(true),
    /** Its caller showed no key of a team; it was sent to none. */
    UNKNOWN_KEY(true),
    /** Its caller showed no key of a team that this host knows, which may not know the newest; it was sent to none. */
    KEY_UNDECIDED(true),
    /** Its team has made as many requests as it may; it was sent to none. */
    OVER_LIMIT(true),
    /** It could not be answered in time by what this host and the leafs have to do; it was sent to none. */
    NO_ROOM(true),
    /** Its time was up before any leaf was asked. */
    EXPIRED(true),
    /** Too few shards answered. */
    TOO_FEW_SHARDS(false),
    /** The time was up while a leaf may have been at work on it. */
    TIME_UP(false),
    /** The connection to the leaf was lost; it may have run. */
    OUTCOME_UNKNOWN(false);

    private final boolean notRun;

    RefusalReason(boolean notRun) {
        this.notRun = notRun;
    }

    /** Returns true if the request has certainly not run, and will not. */
    public boolean isNotRun() {
        return notRun;
    }
}
