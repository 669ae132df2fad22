package org.bramblerack.daemon.leaf;

/** What the answers of leaves to a request are for. */
public enum AnswerKind {
    /** The answer of one leaf is the answer to the caller, which is forwarded unchanged. */
    WHOLE,
    /** The answers of several leaves are merged into the answer to the caller's query. */
    PART
}
