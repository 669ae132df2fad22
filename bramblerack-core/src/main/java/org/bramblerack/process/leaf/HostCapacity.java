package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * Whether another host reports a high event-loop lag, so that its work goes to a backup.
 *
 * <p>The lag comes with the host's answers. A report expires after some seconds; then the host is tried again. Two
 * thresholds (hysteresis) keep a host with a lag near one threshold from switching back and forth.
 *
 * <p>Not safe for use by several threads.
 */
public final class HostCapacity {
    /**
     * Above this a host is lagging. A call and its answer each wait that long, which is half of the shortest latency
     * goal (100 ms).
     */
    private static final long LAGGING_NANOS = Duration.ofMillis(25).toNanos();
    /** At or below this a lagging host has recovered. */
    private static final long RECOVERED_NANOS = Duration.ofMillis(10).toNanos();

    private static final long REPORT_VALIDITY_NANOS = Duration.ofSeconds(3).toNanos();

    private boolean lagging;
    private long reportedAtNanos;

    public HostCapacity() {}

    /**
     * Records the lag that the host reported.
     *
     * @param lagNanos how long a message waits there before it is read
     */
    public void record(long lagNanos, long nowNanos) {
        lagging = isLagging(nowNanos) ? lagNanos > RECOVERED_NANOS : lagNanos > LAGGING_NANOS;
        reportedAtNanos = nowNanos;
    }

    /** Returns true if the host recently reported that it is lagging. */
    public boolean isLagging(long nowNanos) {
        return lagging && nowNanos - reportedAtNanos < REPORT_VALIDITY_NANOS;
    }
}
