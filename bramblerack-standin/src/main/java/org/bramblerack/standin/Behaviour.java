package org.bramblerack.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The current behaviour of a stand-in upstream.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param serviceMicros the mean service time of a call that does not straggle
 * @param stragglePercent the percentage of calls that straggle
 * @param straggleFactor the factor by which the service time of a straggling call is longer
 * @param down whether it closes every connection
 * @param draining whether it reports that it is draining and refuses calls
 * @param silent whether it processes calls but never replies
 * @param truncating whether it truncates its payloads
 * @param itemBytes the minimum size of each item of a payload
 */
public record Behaviour(
        int serviceMicros,
        double stragglePercent,
        int straggleFactor,
        boolean down,
        boolean draining,
        boolean silent,
        boolean truncating,
        int itemBytes) {
    /** Rejects a service time or straggle factor that is not positive. */
    public Behaviour {
        checkArgument(serviceMicros > 0, "service time %s is not positive", serviceMicros);
        checkArgument(straggleFactor > 0, "straggle factor %s is not positive", straggleFactor);
    }

    /** Returns the behaviour of a healthy upstream with a mean service time. */
    public static Behaviour healthy(int serviceMicros) {
        return new Behaviour(serviceMicros, 0, 1, false, false, false, false, 0);
    }

    /** Returns a copy with the given percentage of straggling calls and their factor. */
    public Behaviour withStragglers(double percent, int factor) {
        return new Behaviour(serviceMicros, percent, factor, down, draining, silent, truncating, itemBytes);
    }

    public Behaviour withDown(boolean isDown) {
        return new Behaviour(
                serviceMicros, stragglePercent, straggleFactor, isDown, draining, silent, truncating, itemBytes);
    }

    public Behaviour withDraining(boolean isDraining) {
        return new Behaviour(
                serviceMicros, stragglePercent, straggleFactor, down, isDraining, silent, truncating, itemBytes);
    }

    public Behaviour withSilent(boolean isSilent) {
        return new Behaviour(
                serviceMicros, stragglePercent, straggleFactor, down, draining, isSilent, truncating, itemBytes);
    }

    public Behaviour withTruncating(boolean isTruncating) {
        return new Behaviour(
                serviceMicros, stragglePercent, straggleFactor, down, draining, silent, isTruncating, itemBytes);
    }

    /** Returns a copy whose payloads have items of at least the given size. */
    public Behaviour withItemBytes(int bytes) {
        return new Behaviour(serviceMicros, stragglePercent, straggleFactor, down, draining, silent, truncating, bytes);
    }
}
