package org.bramblerack.request.routed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long the callers of a route had been waiting when an attempt of theirs arrived.
 *
 * <p>A request carries only the time that its caller continues to wait. The longest recent wait on the route is assumed
 * to be that of a first attempt; without enough samples, the route's timeout is. The estimate is wrong for callers
 * whose waits differ by configuration, so it may affect only the order of requests. Not safe for use by several
 * threads.
 */
public final class CallerElapsedTime {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    /**
     * Number of samples after which the longest wait replaces the timeout. Even after an outage, some of them are first
     * attempts.
     */
    private static final int MIN_SAMPLES = 16;

    private final Map<String, WindowedMaximum> maximumByRoute = new HashMap<>();

    /**
     * Records an attempt of a caller and returns how long the caller has been waiting, in nanoseconds.
     *
     * @param waitNanos how long the caller continues to wait
     * @param timeoutNanos the timeout of the route
     */
    public long elapsedNanos(String route, long waitNanos, long timeoutNanos, long nowNanos) {
        WindowedMaximum maximum = maximumByRoute.computeIfAbsent(route, unused -> new WindowedMaximum());
        maximum.record(Math.min(waitNanos, timeoutNanos), nowNanos);
        return Math.max(0, maximum.maxNanos(timeoutNanos) - waitNanos);
    }

    /** The longest wait of the current window and of the previous one. */
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

        /** The first few samples may all be of callers that have retried. */
        long maxNanos(long timeoutNanos) {
            return samples >= MIN_SAMPLES ? Math.max(currentMaxNanos, previousMaxNanos) : timeoutNanos;
        }
    }
}
