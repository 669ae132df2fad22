package org.bramblerack.daemon.settings;

/** A role of a process. Every process also holds connections to upstreams of its own availability zone. */
public enum Role {
    /** Serves callers. */
    ENTRY,
    /** Votes in the agreement protocol; requires persistent storage. */
    CONTROL
}
