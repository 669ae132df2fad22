package org.bramblerack.process;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Tells when this host was suspended: the steady clock leaves that time out, the time of day does not.
 *
 * <p>A time of day that is set ahead looks the same; what follows from a suspension must therefore be safe, and cheap,
 * without one. A time that is set back tells nothing. Not safe for use by several threads.
 */
public final class SuspendDetector {
    private final long minMillis;
    private long wallOffsetMillis;

    /**
     * Creates a watch.
     *
     * @param min shorter suspensions are not told
     */
    public SuspendDetector(Duration min, long nowNanos, long wallMillis) {
        this.minMillis = min.toMillis();
        this.wallOffsetMillis = wallOffset(nowNanos, wallMillis);
    }

    /** Takes readings of both clocks, often enough, and returns true if this host was suspended since the last ones. */
    public boolean wasSuspended(long nowNanos, long wallMillis) {
        long previousMillis = wallOffsetMillis;
        wallOffsetMillis = wallOffset(nowNanos, wallMillis);
        return wallOffsetMillis - previousMillis >= minMillis;
    }

    private static long wallOffset(long nowNanos, long wallMillis) {
        return wallMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos);
    }
}
