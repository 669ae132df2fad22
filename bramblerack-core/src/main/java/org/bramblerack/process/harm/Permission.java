package org.bramblerack.process.harm;

/** Whether a request may be sent to leafs, the freest first. */
public enum Permission {
    /** It may. */
    FREE,
    /** Leafs ended with it on them: one arrival at a time may, to see whether it was that. */
    ON_TRIAL,
    /** It may not: leafs end when they run it. */
    QUARANTINED
}
