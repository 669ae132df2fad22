package org.bramblerack.process;

/**
 * A clock that never goes backwards, for deadlines and delays within one process.
 *
 * <p>Readings of different processes are not comparable. Implementations must be safe for use by many threads.
 */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the current reading in nanoseconds since an arbitrary origin. */
    long nowNanos();

    static MonotonicClock system() {
        return System::nanoTime;
    }
}
