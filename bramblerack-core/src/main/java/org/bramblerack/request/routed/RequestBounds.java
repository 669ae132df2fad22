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
 * @param maxAttempts the number of leaves of a shard that may run the request on behalf of this host
 * @param obtainableAttempts the number of further leaves that the delegating host may permit on request
 */
public record RequestBounds(
        long goalNanos,
        long deadlineNanos,
        long hedgeDelayNanos,
        long expectedNanos,
        int maxAttempts,
        int obtainableAttempts) {
    /** Creates bounds of a request that was not delegated to this host. */
    public RequestBounds(
            long goalNanos, long deadlineNanos, long hedgeDelayNanos, long expectedNanos, int maxAttempts) {
        this(goalNanos, deadlineNanos, hedgeDelayNanos, expectedNanos, maxAttempts, 0);
    }

    /** Rejects bounds that permit no attempt, and negative hedge delays. */
    public RequestBounds {
        checkArgument(maxAttempts >= 1, "maxAttempts must be at least 1: %s", maxAttempts);
        checkArgument(obtainableAttempts >= 0, "obtainableAttempts must not be negative: %s", obtainableAttempts);
        checkArgument(hedgeDelayNanos >= 0, "hedgeDelayNanos must not be negative: %s", hedgeDelayNanos);
    }
}
