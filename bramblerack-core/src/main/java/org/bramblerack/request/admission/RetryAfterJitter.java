package org.bramblerack.request.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * When callers that are refused may come back.
 *
 * <p>The load: many are refused in one moment. If all were told the same they would come back in one moment, and most
 * be refused again. So the times are spread evenly from the earliest useful moment to twice as far. Stateless and safe
 * for use by many threads.
 */
public final class RetryAfterJitter {
    private RetryAfterJitter() {}

    /** Returns a time between the earliest and twice that. */
    public static Duration spread(Duration earliest, RandomGenerator random) {
        return Duration.ofNanos((long) (earliest.toNanos() * (1 + random.nextDouble())));
    }

    /**
     * Returns a time between the earliest and twice that, but not beyond a bound.
     *
     * @param latest beyond which the caller would not wait; if that is before the earliest, a time in its second half
     */
    public static Duration spread(Duration earliest, Duration latest, RandomGenerator random) {
        long toNanos = Math.min(2 * earliest.toNanos(), latest.toNanos());
        long fromNanos = Math.min(earliest.toNanos(), toNanos / 2);
        return Duration.ofNanos(fromNanos + (long) ((toNanos - fromNanos) * random.nextDouble()));
    }
}
