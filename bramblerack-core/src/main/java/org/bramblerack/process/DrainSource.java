package org.bramblerack.process;

/** Who said that an upstream is leaving. The first to say so wins; all must take it back before new work returns. */
public enum DrainSource {
    /** The platform's list. */
    PLATFORM,
    /** The upstream itself, in a reply or in its status. */
    UPSTREAM,
    /** The partner's declaration. */
    DECLARATION
}
