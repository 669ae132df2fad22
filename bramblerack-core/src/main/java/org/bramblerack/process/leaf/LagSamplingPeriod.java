package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * Decides how often a host looks how far it is behind.
 *
 * <p>It answers large fleets, of which each host has a query now and then: on a small processor, looking all the time
 * costs more than the queries. While there is work a host looks several times in the shortest goal of its callers;
 * without, often enough to see that it was stopped for longer than what a caller's time bears. Owned by the event loop.
 */
public final class LagSamplingPeriod {
    /** While there is work: several times in the shortest goal that was seen. */
    public static final Duration BUSY_PERIOD = Duration.ofMillis(20);
    /** Without work: about the shortest goal. */
    public static final Duration IDLE_PERIOD = Duration.ofMillis(100);
    /** Work that came this long ago is over in most cases, and in the others its late answers are few. */
    static final Duration BUSY_TIMEOUT = Duration.ofMillis(300);

    private long lastWorkNanos;
    private boolean hasHadWork;

    /** Notes that work comes. */
    public void onWork(long nowNanos) {
        lastWorkNanos = nowNanos;
        hasHadWork = true;
    }

    /** Returns after how long to look again. */
    public Duration next(long nowNanos) {
        return hasHadWork && nowNanos - lastWorkNanos < BUSY_TIMEOUT.toNanos() ? BUSY_PERIOD : IDLE_PERIOD;
    }
}
