package org.bramblerack.process;

/** What is known of another host. */
public enum HostState {
    /** Heard of lately. */
    LIVE,
    /** Heard of lately, and leaving: it finishes what it has and takes nothing new. */
    LEAVING,
    /** Not heard of lately. It may live on the other side of a cut. */
    SILENT
}
