package org.bramblerack.daemon.leaf;

/** Why a connection to a leaf was opened, failed to open, or was closed. */
public enum ConnectionEvent {
    /** Opened for a waiting call. */
    MADE_FOR_CALL,
    /** Opened to check whether the leaf has ended, after another connection was lost during a call. */
    MADE_TO_CONFIRM,
    /** Opened in advance. */
    MADE_AHEAD,
    /** Could not be opened. */
    NOT_MADE,
    /** Closed because its call was abandoned; closing makes the leaf cancel the call. */
    ENDED_CALL_GIVEN_UP,
    /** Closed because it was idle for nearly as long as the leaf keeps idle connections. */
    ENDED_RESTED,
    /** Closed because it carried an earlier attempt of the same request, whose answer could still arrive on it. */
    ENDED_SAME_REQUEST,
    /** Closed because the leaf's answer announced it, or because no other answer can follow one of that form. */
    ENDED_BY_ANSWER,
    /** Closed because bytes arrived that belong to no request or are not a valid answer. */
    ENDED_GARBLED,
    /** Closed because the leaf is leaving or other hosts hold the connections to it. */
    ENDED_NOT_NEEDED,
    /** Closed by the leaf or the network while idle. */
    ENDED_WHILE_IDLE,
    /** Closed by the leaf or the network during a call. */
    ENDED_WHILE_CALLED
}
