package org.bramblerack.request;

/** What came of a leaf call. */
public sealed interface LeafOutcome {
    /** A reply arrived; it is not yet checked. */
    record Replied(LeafReply reply) implements LeafOutcome {}

    /** The call came to nothing. */
    record Failed(LeafFailure failure) implements LeafOutcome {}
}
