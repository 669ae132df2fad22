package org.bramblerack.request;

/** The outcome of a call to an upstream. */
public sealed interface LeafOutcome {
    /** A reply was received; it is not yet checked. */
    record Replied(LeafReply reply) implements LeafOutcome {}

    /** The call ended without a reply. */
    record Failed(LeafFailure failure) implements LeafOutcome {}
}
