package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * Decides how often a host samples its event-loop lag.
 *
 * <p>Sampling often on an idle host costs more than its few queries, so the period is short only while there is work.
 * The idle period still detects pauses that are longer than a typical latency goal. Owned by the event loop.
 */
public final class LagSamplingPeriod {
    public static final Duration BUSY_PERIOD = Duration.ofMillis(20);
    public static final Duration IDLE_PERIOD = Duration.ofMillis(100);
    /** How long after the last request a host counts as busy. */
    static final Duration BUSY_TIMEOUT = Duration.ofMillis(300);

    private long lastWorkNanos;
    private boolean hasHadWork;

    /** Records the arrival of a request. */
    public void onWork(long nowNanos) {
        lastWorkNanos = nowNanos;
        hasHadWork = true;
    }

    /** Returns the time until the next sample. */
    public Duration next(long nowNanos) {
        return hasHadWork && nowNanos - lastWorkNanos < BUSY_TIMEOUT.toNanos() ? BUSY_PERIOD : IDLE_PERIOD;
    }
}
