package org.bramblerack.process;

/**
 * A clock that never goes back, for deadlines and delays within one process.
 *
 * <p>Readings of two processes cannot be compared. Implementations must be safe for use by many threads.
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the present reading in nanoseconds since an arbitrary origin. */
    long nowNanos();

    /** Returns the clock of this virtual machine. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
