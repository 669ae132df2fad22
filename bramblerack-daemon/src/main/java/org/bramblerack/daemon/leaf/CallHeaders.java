package org.bramblerack.daemon.leaf;

import static java.util.Objects.requireNonNull;

/**
 * The names of the header fields that callers, hosts and leaves exchange.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId identifies one attempt of a caller
 * @param deadlineMillis how many milliseconds the sender waits for an answer
 * @param expectedLeaf the identifier of the leaf that the request is addressed to
 * @param leafId the identifier of the answering leaf
 * @param signature the leaf's signature of its answer
 * @param load the leaf's running requests, queued requests and slots
 * @param notRun present if the leaf did not run the request
 * @param retryAfterSeconds the delay before a retry
 * @param partSignatures the signatures of the parts of a merged answer
 * @param missingParts the number of shards that a merged answer lacks
 * @param team the team on whose behalf the request is sent to a leaf
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
    /** Rejects missing names. */
    public CallHeaders {
        requireNonNull(requestId);
        requireNonNull(deadlineMillis);
        requireNonNull(signature);
    }
}
