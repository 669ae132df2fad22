package org.bramblerack.daemon.entry;

/** The progress of a planned stop. */
public enum StoppingState {
    /** The host runs normally. */
    RUNNING,
    /** The host reports that it is leaving and still accepts requests until the load balancer stops sending them. */
    LEAVING,
    /** The host accepts no new requests and finishes those in flight. */
    FINISHING
}
