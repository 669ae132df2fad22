package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A declared operation that may run at most once for each request identifier.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name by which callers request it
 * @param priority the priority of its requests
 * @param deadline the default and maximum deadline of a request
 * @param retention how long the outcome is kept for look-ups and resends
 */
public record Operation(String name, Priority priority, Duration deadline, Duration retention) {
    /** Rejects a deadline that is not positive and a retention that is not longer than the deadline. */
    public Operation {
        checkArgument(!deadline.isZero() && !deadline.isNegative(), "deadline %s is not positive", deadline);
        checkArgument(retention.compareTo(deadline) > 0, "retention %s is within the deadline", retention);
    }
}
