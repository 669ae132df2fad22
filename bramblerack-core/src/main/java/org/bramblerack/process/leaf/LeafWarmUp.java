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

    private boolean spendsHere;
    private long warmAtNanos;

    /** Creates the coldness of a leaf that warms up at a time. */
    LeafWarmUp(long warmAtNanos) {
        this.warmAtNanos = warmAtNanos;
    }

    void turnCold(Duration coldFor, long nowNanos) {
        warmAtNanos = nowNanos + coldFor.toNanos();
    }

    void bound(double mostPerSecond, boolean newSpendsHere, long nowNanos) {
        if (allowance.isEmpty() || newSpendsHere != spendsHere) {
            allowance = Optional.of(new ColdAllowance(mostPerSecond, nowNanos));
        }
        spendsHere = newSpendsHere;
    }

    boolean isCold(long nowNanos) {
        return nowNanos - warmAtNanos < 0;
    }

    /** Returns true if this host may send it nothing now. */
    boolean isSpent(long nowNanos) {
        return isBound(nowNanos) && !(spendsHere && allowance.get().isLeft(nowNanos));
    }

    /** Notes a request that is to be sent; returns false if it must not be. */
    boolean admit(long nowNanos) {
        return !isBound(nowNanos) || (spendsHere && allowance.get().trySpend(nowNanos));
    }

    private boolean isBound(long nowNanos) {
        return allowance.isPresent() && isCold(nowNanos);
    }
}
