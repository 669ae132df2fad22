package org.bramblerack.version;

/** What to return for a query whose time runs out before every shard has answered. */
public enum Preference {
    /** The partial answer, with its coverage. */
    TIME,
    /** A refusal instead of a partial answer. */
    COVERAGE
}
