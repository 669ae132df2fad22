package org.bramblerack.process;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Decides which requests a stopping process still accepts: those that will be answered before it ends, judged by their
 * deadline, the expected duration of their kind, and how long recent requests of the kind took.
 *
 * <p>A request that may not be repeated is judged by the slowest recent one, since its caller could do nothing if it is
 * not finished.
 *
 * <p>Safe for use by many threads.
 */
public final class StopAdmission {
    private static final int MIN_KINDS_BEFORE_REMOVAL = 64;

    private final Predicate<String> isKnown;
    private final MonotonicClock clock;
    private final Map<String, RecentMaximum> durations = new ConcurrentHashMap<>();
    private volatile int removalSize = MIN_KINDS_BEFORE_REMOVAL;
    private volatile StopWindow window = StopWindow.OPEN;

    /**
     * Creates the admission of a process that is not stopping, which accepts everything.
     *
     * @param isKnown returns true for the kinds of requests that exist now, for example the routes in force
     */
    public StopAdmission(Predicate<String> isKnown, MonotonicClock clock) {
        this.isKnown = isKnown;
        this.clock = clock;
    }

    /** Begins a stop. */
    public void beginStop(StopWindow newWindow) {
        window = newWindow;
    }

    /** Records how long a request took that was run. */
    public void recordDuration(String kind, long durationNanos) {
        if (durations.size() >= removalSize) {
            durations.keySet().removeIf(known -> !isKnown.test(known));
            removalSize = Math.max(MIN_KINDS_BEFORE_REMOVAL, 2 * durations.size());
        }
        durations.computeIfAbsent(kind, unused -> new RecentMaximum()).record(durationNanos, clock.nowNanos());
    }

    /**
     * Returns true if a request that may be repeated may be accepted. If it takes longer than expected, its caller can
     * send it to another process; therefore slow requests before it do not count if an expectation exists.
     *
     * @param expected the duration that is expected of the kind; zero if unknown
     * @param deadlineNanos when the request is answered at the latest
     */
    public boolean mayAcceptRepeatable(String kind, Duration expected, long deadlineNanos) {
        if (expected.isZero()) {
            return mayAccept(kind, expected, deadlineNanos);
        }
        return window.fits(deadlineNanos, OptionalLong.of(expected.toNanos()), clock.nowNanos());
    }

    /**
     * Returns true if a request may be accepted.
     *
     * @param expected the duration that is expected of the kind; zero if unknown
     * @param deadlineNanos when the request is answered at the latest
     */
    public boolean mayAccept(String kind, Duration expected, long deadlineNanos) {
        StopWindow current = window;
        return current == StopWindow.OPEN
                || current.fits(deadlineNanos, expectedNanos(kind, expected), clock.nowNanos());
    }

    /** Describes for a log line what a decision is based on. */
    public String describe(String kind, Duration expected) {
        return "leftMillis=" + millis(window.remainingNanos(clock.nowNanos())) + " expectedMillis="
                + millis(expectedNanos(kind, expected));
    }

    private static String millis(OptionalLong nanos) {
        return nanos.isEmpty() ? "unknown" : Long.toString(TimeUnit.NANOSECONDS.toMillis(nanos.getAsLong()));
    }

    private OptionalLong expectedNanos(String kind, Duration expected) {
        RecentMaximum observed = durations.get(kind);
        OptionalLong slowestNanos = observed == null ? OptionalLong.empty() : observed.get(clock.nowNanos());
        if (expected.isZero()) {
            return slowestNanos;
        }
        return OptionalLong.of(Math.max(expected.toNanos(), slowestNanos.orElse(0)));
    }
}
