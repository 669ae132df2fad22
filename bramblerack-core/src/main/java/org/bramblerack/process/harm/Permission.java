package org.bramblerack.process.harm;

/** Whether a request may be sent to leaves, ordered from the least to the most restrictive. */
public enum Permission {
    /** The request is not restricted. */
    FREE,
    /**
     * Leaves crashed while they ran the request: one arrival at a time may run, to find out whether it is the cause.
     */
    ON_TRIAL,
    /** The request must not be sent: it crashes the leaves that run it. */
    QUARANTINED
}
