package org.bramblerack.version;

/** What a class of queries prefers when its time runs out before every shard has answered. */
public enum Preference {
    /** The partial answer, with its true coverage. */
    TIME,
    /** A refusal rather than an answer that lacks a shard. */
    COVERAGE
}
