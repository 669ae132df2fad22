package org.bramblerack.daemon.entry;

/** How far a process has come with a planned stop. */
public enum StoppingState {
    /** It runs. */
    RUNNING,
    /** It says that it is leaving and still takes requests, because the balancer lags. */
    LEAVING,
    /** It takes no new requests and finishes those in flight. */
    FINISHING
}
