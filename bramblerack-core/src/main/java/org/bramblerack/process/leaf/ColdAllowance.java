package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * How many requests a second one host may send to a leaf while the leaf is cold.
 *
 * <p>A cold leaf falls over if all hosts together send it more than it bears. So one host alone spends its allowance,
 * named by the agreed tables; while these change, or on the two sides of a cut, two hosts may take themselves for that
 * one, and therefore each spends half. A host begins with nothing saved, so that one that restarts again and again
 * spends no more than one that does not.
 *
 * <p>Invariant: in any second no more than the half is spent. Not safe for use by several threads.
 */
final class ColdAllowance {
    /** How many hosts may take themselves for the one that spends. */
    static final int SPENDERS_AT_ONCE = 2;

    /** What may be saved up: with more, less a second would be left within the bound. */
    private static final double MOST_SAVED = 1;

    private static final double NANOS_A_SECOND = Duration.ofSeconds(1).toNanos();

    private final double perSecond;
    private double saved;
    private long savedAtNanos;

    /**
     * Creates an allowance of which nothing is saved.
     *
     * @param mostPerSecond how many requests the leaf bears in any second, from all hosts together
     */
    ColdAllowance(double mostPerSecond, long nowNanos) {
        checkArgument(mostPerSecond >= 0, "%s requests a second", mostPerSecond);
        this.perSecond = Math.max(0, mostPerSecond / SPENDERS_AT_ONCE - MOST_SAVED);
        this.savedAtNanos = nowNanos;
    }

    /** Returns true if a request may be sent now. */
    boolean isLeft(long nowNanos) {
        return saved(nowNanos) >= 1;
    }

    /** Spends one request, if it is left. */
    boolean trySpend(long nowNanos) {
        double before = saved(nowNanos);
        saved = before;
        savedAtNanos = nowNanos;
        if (before < 1) {
            return false;
        }
        saved = before - 1;
        return true;
    }

    private double saved(long nowNanos) {
        double earned = perSecond * Math.max(0, nowNanos - savedAtNanos) / NANOS_A_SECOND;
        return Math.min(MOST_SAVED, saved + earned);
    }
}
