package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A declared operation that may run at most once for each request identifier.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name that callers give
 * @param priority how much the operation matters
 * @param deadline the time that a request has when its caller states none, and the most that a caller may ask for
 * @param retention how long the outcome is kept for look-ups and resends
 */
public record Operation(String name, Priority priority, Duration deadline, Duration retention) {
    /** Refuses a deadline that is not positive and a retention shorter than the deadline. */
    public Operation {
        checkArgument(!deadline.isZero() && !deadline.isNegative(), "deadline %s is not positive", deadline);
        checkArgument(retention.compareTo(deadline) > 0, "retention %s is within the deadline", retention);
    }
}
