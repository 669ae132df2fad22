package org.bramblerack.process.leaf;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A token bucket for the requests that one host may send to a cold leaf.
 *
 * <p>A cold leaf fails if all hosts together send it more than its limit, so the replicated tables designate one host
 * to send to it. While the tables change, or during a network partition, two hosts may consider themselves designated;
 * each therefore uses half of the limit. A host starts without tokens, so that repeated restarts do not raise its rate.
 *
 * <p>Invariant: within any second at most half of the limit is used. Not safe for use by several threads.
 */
final class ColdAllowance {
    /** How many hosts may consider themselves designated at the same time. */
    static final int MAX_CONCURRENT_SENDERS = 2;

    /** The capacity of the bucket. The refill rate is lowered by it, so that a burst stays within the limit. */
    private static final double MAX_TOKENS = 1;

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double perSecond;
    private double tokens;
    private long refilledAtNanos;

    /**
     * Creates a bucket without tokens.
     *
     * @param maxPerSecond the limit of the leaf in any second, for all hosts together
     */
    ColdAllowance(double maxPerSecond, long nowNanos) {
        checkArgument(maxPerSecond >= 0, "maxPerSecond must not be negative: %s", maxPerSecond);
        this.perSecond = Math.max(0, maxPerSecond / MAX_CONCURRENT_SENDERS - MAX_TOKENS);
        this.refilledAtNanos = nowNanos;
    }

    boolean isAvailable(long nowNanos) {
        return tokens(nowNanos) >= 1;
    }

    /** Takes a token if one is available; returns false otherwise. */
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
