package org.bramblerack.process.leaf;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a leaf is cold, and what this host may send it while it is.
 *
 * <p>Not safe for use by several threads.
 */
final class LeafWarmUp {
    /** Absent if a cold leaf of the service bears as much as a warm one. */
    private Optional<ColdAllowance> allowance = Optional.empty();

    private boolean sendsHere;
    private long warmAtNanos;

    /** Creates the coldness of a leaf that warms up at a time. */
    LeafWarmUp(long warmAtNanos) {
        this.warmAtNanos = warmAtNanos;
    }

    void markCold(Duration coldFor, long nowNanos) {
        warmAtNanos = nowNanos + coldFor.toNanos();
    }

    void limit(double maxPerSecond, boolean newSendsHere, long nowNanos) {
        if (allowance.isEmpty() || newSendsHere != sendsHere) {
            allowance = Optional.of(new ColdAllowance(maxPerSecond, nowNanos));
        }
        sendsHere = newSendsHere;
    }

    boolean isCold(long nowNanos) {
        return nowNanos - warmAtNanos < 0;
    }

    /** Returns true if this host may send it nothing now. */
    boolean isBlocked(long nowNanos) {
        return isLimited(nowNanos) && !(sendsHere && allowance.get().isAvailable(nowNanos));
    }

    /** Notes a request that is to be sent; returns false if it must not be. */
    boolean tryAdmit(long nowNanos) {
        return !isLimited(nowNanos) || (sendsHere && allowance.get().tryAcquire(nowNanos));
    }

    private boolean isLimited(long nowNanos) {
        return allowance.isPresent() && isCold(nowNanos);
    }
}
