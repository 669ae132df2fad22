package org.bramblerack.daemon.fleet;

/** The outcome of a report or a change that a leaf or an operator sent. */
public enum FleetOutcome {
    /** It is committed and durable. */
    ACKNOWLEDGED,

    /** It was rejected here; another control host may accept it. */
    NOT_TAKEN,

    /** It was rejected because its caller no longer waited for the answer. */
    ABANDONED,

    /** It is unknown whether it was committed; sending it again is safe. */
    UNDECIDED
}
