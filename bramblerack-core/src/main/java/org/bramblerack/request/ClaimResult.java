package org.bramblerack.request;

import com.google.protobuf.ByteString;

/** The result of a claim on a once-only request, as decided by the replicated state. */
public sealed interface ClaimResult {
    /** The claim was granted: only this attempt may send the request to an upstream. */
    record Granted() implements ClaimResult {}

    /** The request already ran, with the recorded answer. */
    record AlreadyRan(ByteString answer) implements ClaimResult {}

    /** Another attempt holds the claim. */
    record HeldByAnother() implements ClaimResult {}

    /** Another attempt sent the request to an upstream and its outcome is unknown. */
    record OutcomeUnknown(String reason) implements ClaimResult {}

    /** The identifier was already used for a different request. */
    record Mismatch() implements ClaimResult {}

    /** The request is older than the retention period of outcomes. */
    record Expired() implements ClaimResult {}

    /** No quorum confirmed the claim. It may still be granted later; this attempt must then release it. */
    record NoQuorum(String reason) implements ClaimResult {}
}
