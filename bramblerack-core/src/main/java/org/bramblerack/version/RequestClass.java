package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A declared class of queries.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name by which callers request it
 * @param priority the priority of its queries
 * @param deadline the default and maximum deadline of a query
 * @param preference what to return when the time runs out
 */
public record RequestClass(String name, Priority priority, Duration deadline, Preference preference) {
    /** Rejects a deadline that is not positive. */
    public RequestClass {
        checkArgument(!deadline.isZero() && !deadline.isNegative(), "deadline %s is not positive", deadline);
    }
}
