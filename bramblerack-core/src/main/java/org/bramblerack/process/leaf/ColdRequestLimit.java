package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * By how much all hosts together may go over what cold leafs are made for.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param factor how many times the requests a second that a cold leaf is made for it bears
 * @param slack how many requests in any second it bears beyond that
 */
public record ColdRequestLimit(double factor, double slack) {
    /** Nothing beyond what leafs are made for, for settings that name no bound. */
    public static final ColdRequestLimit NONE = new ColdRequestLimit(1, 0);

    /** Refuses a bound below what leafs are made for. */
    public ColdRequestLimit {
        checkArgument(factor > 0 && slack >= 0, "%s times what a cold leaf is made for, and %s more", factor, slack);
    }

    /** Returns how many requests a leaf bears in any second that is made for so many while it is cold. */
    public double mostPerSecond(double declaredPerSecond) {
        return declaredPerSecond * factor + slack;
    }
}
