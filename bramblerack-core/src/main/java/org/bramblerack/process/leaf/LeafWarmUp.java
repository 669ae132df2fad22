package org.bramblerack.process.leaf;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a leaf is cold, and whether this host may send requests to it meanwhile.
 *
 * <p>Not safe for use by several threads.
 */
final class LeafWarmUp {
    /** Empty if the service declares no limit for cold leaves. */
    private Optional<ColdAllowance> allowance = Optional.empty();

    private boolean sendsHere;
    private long warmAtNanos;

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

    /** Returns true if the leaf is cold and this host may not send it a request now. */
    boolean isBlocked(long nowNanos) {
        return isLimited(nowNanos) && !(sendsHere && allowance.get().isAvailable(nowNanos));
    }

    /** Records a request that is about to be sent; returns false if it must not be sent. */
    boolean tryAdmit(long nowNanos) {
        return !isLimited(nowNanos) || (sendsHere && allowance.get().tryAcquire(nowNanos));
    }

    private boolean isLimited(long nowNanos) {
        return allowance.isPresent() && isCold(nowNanos);
    }
}
