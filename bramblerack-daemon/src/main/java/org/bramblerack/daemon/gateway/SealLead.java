package org.bramblerack.daemon.gateway;

import java.time.Duration;

/**
 * How long before a route's goal an answer is sealed, so that it is with the caller in time.
 *
 * <p>It is the way to the caller and what this host took of late from the moment at which it meant to seal until the
 * answer was written: timers fire late and merging takes its time on a fraction of a core. Owned by the event loop.
 */
final class SealLead {
    /** The way to the caller: one to three milliseconds at the users' sites, and as much again for a slow link. */
    private static final long WAY_NANOS = Duration.ofMillis(7).toNanos();
    /** A process that has just started is slow; it is taken to be until it has shown otherwise. */
    private static final long FIRST_OVERRUN_NANOS = Duration.ofMillis(4).toNanos();
    /** An answer written later than that was not sealed by the clock but waited for the least share. */
    private static final long MOST_OVERRUN_NANOS = Duration.ofMillis(12).toNanos();
    /** Half of all seals take longer than usual; twice the mean covers most of them. */
    private static final int MARGIN = 2;

    private static final double SMOOTHING = 0.2;

    private double overrunNanos = FIRST_OVERRUN_NANOS;

    /** Returns the lead for the next answer. */
    long nanos() {
        return WAY_NANOS + (long) (MARGIN * overrunNanos);
    }

    /** Notes when an answer was written that was to be sealed at a given time. */
    void sealed(long plannedNanos, long writtenNanos) {
        long seenNanos = Math.max(0, writtenNanos - plannedNanos);
        if (seenNanos <= MOST_OVERRUN_NANOS) {
            overrunNanos += SMOOTHING * (seenNanos - overrunNanos);
        }
    }
}
