package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times and counts that bound one request.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param goalNanos when an answer should be on its way to be worth most
 * @param deadlineNanos when the final answer is given at the latest
 * @param hedgeDelayNanos how long an attempt may take before another leaf is asked as well
 * @param expectedNanos how long a call usually takes
 * @param maxAttempts how many leafs a shard may be sent to
 */
public record RequestBounds(
        long goalNanos, long deadlineNanos, long hedgeDelayNanos, long expectedNanos, int maxAttempts) {
    /** Refuses a request that could not be sent at all. */
    public RequestBounds {
        checkArgument(maxAttempts >= 1, "%s attempts", maxAttempts);
        checkArgument(hedgeDelayNanos >= 0, "a hedge delay of %s", hedgeDelayNanos);
    }
}
