package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many requests a team may make on all hosts together.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param perSecond the requests a second, 0 if they are not limited
 * @param burst how many it may make beyond that at once
 */
public record RateLimit(double perSecond, double burst) {
    /** No limit. */
    public static final RateLimit NONE = new RateLimit(0, 0);

    /** Refuses negative rates. */
    public RateLimit {
        checkArgument(perSecond >= 0, "the rate %s is negative; give 0 for no limit", perSecond);
        checkArgument(burst >= 0, "the burst %s is negative; give 0 for none", burst);
    }

    /** Returns true if the team may make as many requests as it likes. */
    public boolean isUnlimited() {
        return perSecond == 0;
    }
}
