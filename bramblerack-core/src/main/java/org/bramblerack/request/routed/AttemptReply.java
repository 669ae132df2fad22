package org.bramblerack.request.routed;

/** The reply of a host to its delegate's request for an attempt. */
enum AttemptReply {
    /** The attempt belongs to the delegate from now on. */
    GRANTED,
    /** No attempt is available. */
    DENIED,
    /** The host has requested the attempt in turn, and replies later. */
    LATER
}
