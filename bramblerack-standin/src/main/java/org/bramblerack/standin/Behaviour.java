package org.bramblerack.standin;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How a stand-in upstream behaves at present.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param serviceMicros how long it works on a call
 * @param stragglePercent how many calls in 100 take {@code straggleFactor} times as long
 * @param straggleFactor by how much a straggling call takes longer
 * @param down true if it closes every connection
 * @param draining true if it is leaving
 * @param silent true if it works but never replies
 * @param truncating true if it cuts its payloads short
 */
public record Behaviour(
        int serviceMicros,
        double stragglePercent,
        int straggleFactor,
        boolean down,
        boolean draining,
        boolean silent,
        boolean truncating) {
    /** Refuses a time that is not positive. */
    public Behaviour {
        checkArgument(serviceMicros > 0, "service time %s is not positive", serviceMicros);
        checkArgument(straggleFactor > 0, "straggle factor %s is not positive", straggleFactor);
    }

    /** Returns a healthy upstream that works on a call for a time. */
    public static Behaviour healthy(int serviceMicros) {
        return new Behaviour(serviceMicros, 0, 1, false, false, false, false);
    }

    /** Returns the same with stragglers. */
    public Behaviour withStragglers(double percent, int factor) {
        return new Behaviour(serviceMicros, percent, factor, down, draining, silent, truncating);
    }

    /** Returns the same, down or up. */
    public Behaviour withDown(boolean isDown) {
        return new Behaviour(serviceMicros, stragglePercent, straggleFactor, isDown, draining, silent, truncating);
    }

    /** Returns the same, leaving or not. */
    public Behaviour withDraining(boolean isDraining) {
        return new Behaviour(serviceMicros, stragglePercent, straggleFactor, down, isDraining, silent, truncating);
    }

    /** Returns the same, replying or not. */
    public Behaviour withSilent(boolean isSilent) {
        return new Behaviour(serviceMicros, stragglePercent, straggleFactor, down, draining, isSilent, truncating);
    }

    /** Returns the same, with payloads cut short or whole. */
    public Behaviour withTruncating(boolean isTruncating) {
        return new Behaviour(serviceMicros, stragglePercent, straggleFactor, down, draining, silent, isTruncating);
    }
}
