package org.bramblerack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.event.LogRateLimiter;
import org.bramblerack.process.MonotonicClock;

/**
 * Writes a line for each request that did not end as well as it could, and a sample of the others, a bounded number a
 * second of either.
 *
 * <p>What is left out is counted and said. Owned by the event loop.
 */
final class DecisionLog {
    private static final EventLog EVENTS = EventLog.of(DecisionLog.class);
    /** Enough to explain any one failure in a storm of them, at a cost well below a percent of a small core. */
    private static final int IMPERFECT_LINES_A_SECOND = 20;
    /** Enough to see how requests usually go. */
    private static final int ORDINARY_LINES_A_SECOND = 1;

    private final MonotonicClock clock;
    private final FleetView view;
    private final LogRateLimiter imperfect;
    private final LogRateLimiter ordinary;

    DecisionLog(MonotonicClock clock, FleetView view) {
        this.clock = clock;
        this.view = view;
        this.imperfect = new LogRateLimiter(clock, IMPERFECT_LINES_A_SECOND);
        this.ordinary = new LogRateLimiter(clock, ORDINARY_LINES_A_SECOND);
    }

    /** Writes a line about a request that ended as well as it could, if one is due. */
    void ordinary(RoutedCall call, String outcome) {
        if (ordinary.tryAcquire()) {
            ordinary.takeSuppressedCount();
            line(call, outcome).write();
        }
    }

    /**
     * Writes a line about a request that did not end as well as it could.
     *
     * @param details adds what decided it; called only if the line is written
     */
    void imperfect(RoutedCall call, String outcome, Consumer<EventLog.Line> details) {
        if (!imperfect.tryAcquire()) {
            return;
        }
        sayWhatWasLeftOut();
        EventLog.Line line = line(call, outcome);
        details.accept(line);
        line.write();
    }

    /**
     * Writes a line about a request that was refused before a route, or in whose name it is made, was found.
     *
     * @param details adds what decided it; called only if the line is written
     */
    void refusedUnrouted(String requestId, String host, String path, String outcome, Consumer<EventLog.Line> details) {
        if (imperfect.tryAcquire()) {
            sayWhatWasLeftOut();
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

    private void sayWhatWasLeftOut() {
        long leftOut = imperfect.takeSuppressedCount();
        if (leftOut > 0) {
            EVENTS.info("request_lines_left_out").with("count", leftOut).write();
        }
    }

    private EventLog.Line line(RoutedCall call, String outcome) {
        long nowNanos = clock.nowNanos();
        return EVENTS.info("request_ended")
                .with("request", call.request().requestId())
                .with("fingerprint", call.request().fingerprints().path().toString())
                .with("outcome", outcome)
                .with("route", call.route().name())
                .with("configuration", call.configurationVersion())
                .with("revision", view.revision())
                .with("tookMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - call.arrivedNanos()))
                .with(
                        "afterGoalMillis",
                        TimeUnit.NANOSECONDS.toMillis(nowNanos - call.times().goalNanos()));
    }
}
