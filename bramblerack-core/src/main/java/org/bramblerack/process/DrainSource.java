package org.bramblerack.process;

/** The source of a report that an upstream is leaving. The upstream gets new work only if no source reports it so. */
public enum DrainSource {
    /** The platform's list of hosts. */
    PLATFORM,
    /** The upstream itself, in a reply or in its status. */
    UPSTREAM,
    /** The partner's declaration. */
    DECLARATION
}
