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
    private static final int MIN_SAMPLES = 16;

    private final Map<String, WindowedMaximum> maximumByRoute = new HashMap<>();

    /**
     * Notes a try and returns how long its caller has waited already, in nanoseconds.
     *
     * @param waitNanos how long the caller goes on waiting
     * @param timeoutNanos the time-out of the route
     */
    public long elapsedNanos(String route, long waitNanos, long timeoutNanos, long nowNanos) {
        WindowedMaximum maximum = maximumByRoute.computeIfAbsent(route, unused -> new WindowedMaximum());
        maximum.record(Math.min(waitNanos, timeoutNanos), nowNanos);
        return Math.max(0, maximum.maxNanos(timeoutNanos) - waitNanos);
    }

    /** The longest wait of the present window and of the one before. */
    private static final class WindowedMaximum {
        private boolean started;
        private int samples;
        private long windowStartNanos;
        private long currentMaxNanos;
        private long previousMaxNanos;

        void record(long waitNanos, long nowNanos) {
            if (!started) {
                started = true;
                windowStartNanos = nowNanos;
            } else if (nowNanos - windowStartNanos >= WINDOW_NANOS) {
                windowStartNanos = nowNanos;
                previousMaxNanos = currentMaxNanos;
                currentMaxNanos = 0;
            }
            samples = Math.min(MIN_SAMPLES, samples + 1);
            currentMaxNanos = Math.max(currentMaxNanos, waitNanos);
        }

        /** The first few tries may all be those of callers who have waited. */
        long maxNanos(long timeoutNanos) {
            return samples >= MIN_SAMPLES ? Math.max(currentMaxNanos, previousMaxNanos) : timeoutNanos;
        }
    }
}
