package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The time limits and the number of attempts of one request.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param goalNanos the time by which an answer should be sent to have its full value
 * @param deadlineNanos the latest time of the final answer
 * @param hedgeDelayNanos how long an attempt may take before it is hedged at another leaf
 * @param expectedNanos the expected duration of a call
 * @param maxAttempts the number of leaves of a shard that may run the request
 */
public record RequestBounds(
        long goalNanos, long deadlineNanos, long hedgeDelayNanos, long expectedNanos, int maxAttempts) {
    /** Rejects bounds that permit no attempt, and negative hedge delays. */
    public RequestBounds {
        checkArgument(maxAttempts >= 1, "maxAttempts must be at least 1: %s", maxAttempts);
        checkArgument(hedgeDelayNanos >= 0, "hedgeDelayNanos must not be negative: %s", hedgeDelayNanos);
    }
}
