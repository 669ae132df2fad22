package org.bramblerack.request.admission;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Chooses retry times for refused requests at random, so that requests refused together do not return together.
 *
 * <p>Stateless and thread-safe.
 */
public final class RetryAfterJitter {
    private RetryAfterJitter() {}

    /** Returns a delay chosen uniformly between the earliest useful one and twice that. */
    public static Duration spread(Duration earliest, RandomGenerator random) {
        return Duration.ofNanos((long) (earliest.toNanos() * (1 + random.nextDouble())));
    }

    /**
     * Returns a delay chosen uniformly between the earliest useful one and twice that, but at most the latest.
     *
     * @param earliest the shortest useful delay; lowered to half of the upper bound if it exceeds that
     * @param latest the longest delay that the caller would wait
     */
    public static Duration spread(Duration earliest, Duration latest, RandomGenerator random) {
        long toNanos = Math.min(2 * earliest.toNanos(), latest.toNanos());
        long fromNanos = Math.min(earliest.toNanos(), toNanos / 2);
        return Duration.ofNanos(fromNanos + (long) ((toNanos - fromNanos) * random.nextDouble()));
    }
}
