package org.bramblerack.daemon.leaf;

import static java.util.Objects.requireNonNull;

/**
 * The names of the header fields by which callers, hosts and leafs tell one another what the product needs to know.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId identifies one attempt of a caller
 * @param deadlineMillis how many milliseconds the sender waits
 * @param expectedLeaf the identifier of the leaf that is meant
 * @param leafId the identifier of the leaf that answers
 * @param signature what a leaf signs an answer with
 * @param load how many requests a leaf works on, how many wait, and its slots
 * @param notRun present if a leaf did not run the request
 * @param retryAfterSeconds when to come back
 * @param partSignatures the signatures of the parts of a merged answer
 * @param missingParts how many shards a merged answer lacks
 * @param team the team in whose name a request is made, as leafs are told
 */
public record CallHeaders(
        String requestId,
        String deadlineMillis,
        String expectedLeaf,
        String leafId,
        String signature,
        String load,
        String notRun,
        String retryAfterSeconds,
        String partSignatures,
        String missingParts,
        String team) {
    /** Refuses missing names. */
    public CallHeaders {
        requireNonNull(requestId);
        requireNonNull(deadlineMillis);
        requireNonNull(signature);
    }
}
