package org.bramblerack.version;

/** How much a class of requests matters: an urgent request never waits behind a normal one for long. */
public enum Priority {
    /** Served first. */
    URGENT,
    /** Served after the urgent, but never starved entirely. */
    NORMAL
}
