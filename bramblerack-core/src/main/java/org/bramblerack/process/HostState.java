package org.bramblerack.process;

/** The state of another host as derived from its heartbeats. */
public enum HostState {
    /** Its last heartbeat is recent. */
    LIVE,
    /**
     * Its last heartbeat is recent and reports that it is leaving: it finishes its requests and accepts no new ones.
     */
    LEAVING,
    /** No heartbeat arrived recently. It may still be up behind a network partition. */
    SILENT
}
