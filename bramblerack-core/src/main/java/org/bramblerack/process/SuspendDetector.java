package org.bramblerack.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Detects that this host was suspended, by comparing the monotonic clock, which stops meanwhile, with the wall clock.
 *
 * <p>A wall clock that is set forward looks the same, so that the reaction to a suspension must be safe, and cheap,
 * without one. A wall clock that is set back is ignored. Not safe for use by several threads.
 */
public final class SuspendDetector {
    private final long minMillis;
    private long wallOffsetMillis;

    /**
     * Creates a detector with the current readings of both clocks.
     *
     * @param min shorter suspensions are not reported
     */
    public SuspendDetector(Duration min, long nowNanos, long wallMillis) {
        this.minMillis = min.toMillis();
        this.wallOffsetMillis = wallOffset(nowNanos, wallMillis);
    }

    /**
     * Compares the readings of both clocks with the previous ones; returns true if this host was suspended in between.
     */
    public boolean wasSuspended(long nowNanos, long wallMillis) {
        long previousMillis = wallOffsetMillis;
        wallOffsetMillis = wallOffset(nowNanos, wallMillis);
        return wallOffsetMillis - previousMillis >= minMillis;
    }

    private static long wallOffset(long nowNanos, long wallMillis) {
        return wallMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
