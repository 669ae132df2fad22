package org.bramblerack.daemon.fleet;

/** What a leaf or an operator is told of a report or a change. */
public enum FleetOutcome {
    /** It is agreed and will last. */
    ACKNOWLEDGED,

    /** It was not taken here; another control host may take it. */
    NOT_TAKEN,

    /** Whether it was taken is not known; sending it again is safe. */
    UNDECIDED
}
