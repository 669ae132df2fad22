package org.bramblerack.daemon.settings;

/** What a process does. Every process also holds connections to upstreams of its own availability zone. */
public enum Role {
    /** Takes requests from callers. */
    ENTRY,
    /** Takes part in the agreement; needs a disk. */
    CONTROL
}
