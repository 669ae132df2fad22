package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * How far another host said that it is behind, so that its work can go to a host that stands in for it.
 *
 * <p>The load that it answers: a host that works at a fifth of its speed for seconds, while its neighbours idle. Each
 * of its shards is late, and every query waits for them. What a host says comes with its answers, so it is as old as
 * the last of them; once it is too old the host is tried again as if it had said nothing. Between two bounds what was
 * decided last holds, so that a host that is behind by about as much as is borne is not left and taken up by turns.
 *
 * <p>Not safe for use by several threads.
 */
public final class HostCapacity {
    /**
     * A call and its answers wait that long each: twice this is half of the shortest goals of callers, 100 ms, which
     * leaves time for neither a hedge nor the way.
     */
    private static final long LAGGING_NANOS = Duration.ofMillis(25).toNanos();
    /** What a host is late by that has no more than its usual work. */
    private static final long RECOVERED_NANOS = Duration.ofMillis(10).toNanos();
    /** A host asks the same one every second or two in a large fleet; a slow spell lasts a few seconds. */
    private static final long REPORT_VALIDITY_NANOS = Duration.ofSeconds(3).toNanos();

    private boolean lagging;
    private long reportedAtNanos;

    /** Creates the room of a host that has said nothing yet. */
    public HostCapacity() {}

    /**
     * Notes what a host says.
     *
     * @param lagNanos how long what arrives there waits to be read
     */
    public void record(long lagNanos, long nowNanos) {
        lagging = isLagging(nowNanos) ? lagNanos > RECOVERED_NANOS : lagNanos > LAGGING_NANOS;
        reportedAtNanos = nowNanos;
    }

    /** Returns true if it said of late that it is behind. */
    public boolean isLagging(long nowNanos) {
        return lagging && nowNanos - reportedAtNanos < REPORT_VALIDITY_NANOS;
    }
}
