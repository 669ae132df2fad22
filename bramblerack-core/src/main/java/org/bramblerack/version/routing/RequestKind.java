package org.bramblerack.version.routing;

/** Whether a request may run more than once. */
public enum RequestKind {
    /** It may run more than once, so it may be sent to a second leaf while the first may still run it. */
    IDEMPOTENT,

    /** It may run at most once, so it goes to a second leaf only if the first is known not to have run it. */
    MUTATING
}
