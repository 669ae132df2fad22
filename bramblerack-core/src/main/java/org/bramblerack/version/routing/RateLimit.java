package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The token-bucket rate limit of a team over all hosts together.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param perSecond the requests per second; 0 for no limit
 * @param burst how many requests may be made at once beyond that rate
 */
public record RateLimit(double perSecond, double burst) {
    public static final RateLimit NONE = new RateLimit(0, 0);

    /** Rejects a negative rate or burst. */
    public RateLimit {
        checkArgument(perSecond >= 0, "the rate %s is negative; give 0 for no limit", perSecond);
        checkArgument(burst >= 0, "the burst %s is negative; give 0 for none", burst);
    }

    /** Returns true if no limit applies. */
    public boolean isUnlimited() {
        return perSecond == 0;
    }
}
