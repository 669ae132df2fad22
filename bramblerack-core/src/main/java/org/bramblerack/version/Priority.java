package org.bramblerack.version;

/** The priority of a class of requests. */
public enum Priority {
    /** Served first. */
    URGENT,
    /** Served after urgent requests, with a minimum share so that it is not starved. */
    NORMAL
}
