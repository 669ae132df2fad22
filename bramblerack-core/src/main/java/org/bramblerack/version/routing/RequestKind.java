package org.bramblerack.version.routing;

/** Whether a request may run more than once. */
public enum RequestKind {
    /** May run more than once, so it can be sent to a second leaf while the first may still run it. */
    IDEMPOTENT,

    /** May run at most once, so it is sent to a second leaf only if the first is known not to have run it. */
    MUTATING
}
