package org.bramblerack.request;

import com.google.protobuf.ByteString;

/** What the agreed state says to the claim on a once-only request. */
public sealed interface ClaimResult {
    /** The claim is granted to this attempt: it alone may hand the request to an upstream. */
    record Granted() implements ClaimResult {}

    /** The request ran before; here is the recorded answer. */
    record AlreadyRan(ByteString answer) implements ClaimResult {}

    /** Another attempt holds the claim. */
    record HeldByAnother() implements ClaimResult {}

    /** Another attempt handed the request over and its outcome is not known. */
    record OutcomeUnknown(String reason) implements ClaimResult {}

    /** The identifier was used before for another request. */
    record Mismatch() implements ClaimResult {}

    /** The request is older than outcomes are kept. */
    record Expired() implements ClaimResult {}

    /** The claim was not agreed; it may still be agreed later, and then this attempt must give it back. */
    record NoQuorum(String reason) implements ClaimResult {}
}
