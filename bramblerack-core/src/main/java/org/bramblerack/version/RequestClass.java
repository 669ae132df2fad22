package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A declared class of queries.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name that callers give
 * @param priority how much the class matters
 * @param deadline the time that a query has when its caller states none, and the most that a caller may ask for
 * @param preference what to do when the time runs out
 */
public record RequestClass(String name, Priority priority, Duration deadline, Preference preference) {
    /** Refuses a deadline that is not positive. */
    public RequestClass {
        checkArgument(!deadline.isZero() && !deadline.isNegative(), "deadline %s is not positive", deadline);
    }
}
