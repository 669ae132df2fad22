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
    static final int MAX_CONCURRENT_SENDERS = 2;

    /** What may be saved up: with more, less a second would be left within the bound. */
    private static final double MAX_TOKENS = 1;

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double perSecond;
    private double tokens;
    private long refilledAtNanos;

    /**
     * Creates an allowance of which nothing is saved.
     *
     * @param maxPerSecond how many requests the leaf bears in any second, from all hosts together
     */
    ColdAllowance(double maxPerSecond, long nowNanos) {
        checkArgument(maxPerSecond >= 0, "%s requests a second", maxPerSecond);
        this.perSecond = Math.max(0, maxPerSecond / MAX_CONCURRENT_SENDERS - MAX_TOKENS);
        this.refilledAtNanos = nowNanos;
    }

    /** Returns true if a request may be sent now. */
    boolean isAvailable(long nowNanos) {
        return tokens(nowNanos) >= 1;
    }

    /** Spends one request, if it is left. */
    boolean tryAcquire(long nowNanos) {
        double before = tokens(nowNanos);
        tokens = before;
        refilledAtNanos = nowNanos;
        if (before < 1) {
            return false;
        }
        tokens = before - 1;
        return true;
    }

    private double tokens(long nowNanos) {
        double refill = perSecond * Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
        return Math.min(MAX_TOKENS, tokens + refill);
    }
}
