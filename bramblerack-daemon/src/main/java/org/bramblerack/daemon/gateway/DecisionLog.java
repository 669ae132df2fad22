package org.bramblerack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.event.LogRateLimiter;
import org.bramblerack.process.MonotonicClock;

/**
 * Logs the outcome of each request that did not end with a complete, timely answer, and a sample of the others, each at
 * a bounded rate.
 *
 * <p>Suppressed lines are counted and their number is logged. Owned by the event loop.
 */
final class DecisionLog {
    private static final EventLog EVENTS = EventLog.of(DecisionLog.class);
    /** Enough lines to diagnose a burst of failures, at a small cost. */
    private static final int MAX_DEGRADED_LINES_PER_SECOND = 20;

    private static final int MAX_NORMAL_LINES_PER_SECOND = 1;

    private final MonotonicClock clock;
    private final FleetView view;
    private final LogRateLimiter logDegraded;
    private final LogRateLimiter logNormal;

    DecisionLog(MonotonicClock clock, FleetView view) {
        this.clock = clock;
        this.view = view;
        this.logDegraded = new LogRateLimiter(clock, MAX_DEGRADED_LINES_PER_SECOND);
        this.logNormal = new LogRateLimiter(clock, MAX_NORMAL_LINES_PER_SECOND);
    }

    /** Logs a request that ended with a complete, timely answer, within the rate limit. */
    void logNormal(RoutedCall call, String outcome) {
        if (logNormal.tryAcquire()) {
            logNormal.takeSuppressedCount();
            newLine(call, outcome).write();
        }
    }

    /**
     * Logs a request with a degraded outcome, within the rate limit.
     *
     * @param details adds fields that explain the outcome; called only if the line is written
     */
    void logDegraded(RoutedCall call, String outcome, Consumer<EventLog.Line> details) {
        if (!logDegraded.tryAcquire()) {
            return;
        }
        logSuppressedCount();
        EventLog.Line line = newLine(call, outcome);
        details.accept(line);
        line.write();
    }

    /**
     * Logs an event of a request that is in progress, within the rate limit of degraded requests.
     *
     * @param details adds fields; called only if the line is written
     */
    void logEvent(RoutedCall call, String event, Consumer<EventLog.Line> details) {
        if (logDegraded.tryAcquire()) {
            logSuppressedCount();
            EventLog.Line line = newEvent(call, event);
            details.accept(line);
            line.write();
        }
    }

    /**
     * Logs a request that was refused before its route or caller was identified, within the rate limit.
     *
     * @param details adds fields that explain the outcome; called only if the line is written
     */
    void logUnrouted(String requestId, String host, String path, String outcome, Consumer<EventLog.Line> details) {
        if (logDegraded.tryAcquire()) {
            logSuppressedCount();
            EventLog.Line line = EVENTS.info("request_ended")
                    .with("request", requestId)
                    .with("outcome", outcome)
                    .with("host", host)
                    .with("path", path)
                    .with("configuration", view.configuration().version())
                    .with("revision", view.revision());
            details.accept(line);
            line.write();
        }
    }

    private void logSuppressedCount() {
        long leftOut = logDegraded.takeSuppressedCount();
        if (leftOut > 0) {
            EVENTS.info("request_lines_left_out").with("count", leftOut).write();
        }
    }

    private EventLog.Line newLine(RoutedCall call, String outcome) {
        long nowNanos = clock.nowNanos();
        return newEvent(call, "request_ended")
                .with("fingerprint", call.request().fingerprints().path().toString())
                .with("outcome", outcome)
                .with(
                        "afterGoalMillis",
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - call.times().goalNanos()));
    }

    private EventLog.Line newEvent(RoutedCall call, String event) {
        return EVENTS.info(event)
                .with("request", call.request().requestId())
                .with("route", call.route().name())
                .with("configuration", call.configurationVersion())
                .with("revision", view.revision())
                .with("tookMillis", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - call.arrivedNanos()));
    }
}
