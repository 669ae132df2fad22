package org.bramblerack.request.routed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells how much of their time the callers of a route have used before a try of theirs arrived.
 *
 * <p>A try says only for how long its caller goes on waiting. The longest wait that was seen of late is taken for that
 * of a first try; where none was seen, the time-out of the route is. Callers of one route whose waits differ by nature
 * are told apart wrongly, so what follows from it may change the order of requests only. Not safe for use by several
 * threads.
 */
public final class CallerElapsedTime {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    /**
     * So many tries tell more than the time-out, which may be far longer than anyone waits: even after an outage, one
     * in some of them is a first one.
     */
    private static final int ENOUGH_TRIES = 16;

    private final Map<String, Longest> longestByRoute = new HashMap<>();

    /**
     * Notes a try and returns how long its caller has waited already, in nanoseconds.
     *
     * @param waitNanos how long the caller goes on waiting
     * @param timeoutNanos the time-out of the route
     */
    public long elapsedNanos(String route, long waitNanos, long timeoutNanos, long nowNanos) {
        Longest longest = longestByRoute.computeIfAbsent(route, unused -> new Longest());
        longest.note(Math.min(waitNanos, timeoutNanos), nowNanos);
        return Math.max(0, longest.nanos(timeoutNanos) - waitNanos);
    }

    /** The longest wait of the present window and of the one before. */
    private static final class Longest {
        private boolean begun;
        private int tries;
        private long windowStartNanos;
        private long inWindowNanos;
        private long beforeNanos;

        void note(long waitNanos, long nowNanos) {
            if (!begun) {
                begun = true;
                windowStartNanos = nowNanos;
            } else if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
                windowStartNanos = nowNanos;
                beforeNanos = inWindowNanos;
                inWindowNanos = 0;
            }
            tries = Math.min(ENOUGH_TRIES, tries + 1);
            inWindowNanos = Math.max(inWindowNanos, waitNanos);
        }

        /** The first few tries may all be those of callers who have waited. */
        long nanos(long timeoutNanos) {
            return tries >= ENOUGH_TRIES ? Math.max(inWindowNanos, beforeNanos) : timeoutNanos;
        }
    }
}
