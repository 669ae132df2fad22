package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The limit on requests to a cold leaf, for all hosts together, relative to the rate that its service declares.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param factor the multiple of the declared rate that a cold leaf accepts
 * @param slack how many requests in any second it accepts beyond that
 */
public record ColdRequestLimit(double factor, double slack) {
    /** Exactly the declared rate, for settings without a limit. */
    public static final ColdRequestLimit NONE = new ColdRequestLimit(1, 0);

    /** Validates that the factor is positive and the slack not negative. */
    public ColdRequestLimit {
        checkArgument(
                factor > 0 && slack >= 0, "need factor > 0 and slack >= 0, got factor %s, slack %s", factor, slack);
    }

    /** Returns the limit in any second of a leaf with the given declared rate. */
    public double maxPerSecond(double declaredPerSecond) {
        return declaredPerSecond * factor + slack;
    }
}
