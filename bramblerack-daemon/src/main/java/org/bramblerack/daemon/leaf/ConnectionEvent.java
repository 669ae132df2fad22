package org.bramblerack.daemon.leaf;

/** What becomes of a connection to a leaf: why one is made, and why it ends. */
public enum ConnectionEvent {
    /** It was made because a call waited for one. */
    MADE_FOR_CALL,
    /** It was made to find out whether the leaf has ended, after another had with a call on it. */
    MADE_TO_CONFIRM,
    /** It was made ahead of its use. */
    MADE_AHEAD,
    /** It could not be made. */
    NOT_MADE,
    /** It was closed because the call on it was given up: so the leaf drops the call. */
    ENDED_CALL_GIVEN_UP,
    /** It had rested for nearly as long as the leaf keeps idle connections. */
    ENDED_RESTED,
    /** The only idle one had carried an earlier attempt of the same request, whose answer could still come on it. */
    ENDED_SAME_REQUEST,
    /** The leaf's answer said that it closes, or came in a form after which no other can follow. */
    ENDED_BY_ANSWER,
    /** Bytes came that belong to no request, or no answer. */
    ENDED_GARBLED,
    /** This host no longer needs it: the leaf leaves, or others hold the connections to it. */
    ENDED_NOT_NEEDED,
    /** The leaf or the network ended it while it rested. */
    ENDED_WHILE_IDLE,
    /** The leaf or the network ended it with a call on it. */
    ENDED_WHILE_CALLED
}
