package org.bramblerack.daemon.gateway;

import java.lang.System.Logger;
import java.time.Duration;
import java.util.function.Supplier;
import org.bramblerack.process.MonotonicClock;

/**
 * Logs the decisions about single requests that did not end as well as they could, a bounded number a second.
 *
 * <p>What is left out is counted and said. Owned by the event loop.
 */
final class DecisionLog {
    private static final Logger LOGGER = System.getLogger(DecisionLog.class.getName());
    private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();
    /** Enough to explain any one failure in a storm of them, at a cost well below a percent of a small core. */
    private static final int LINES_IN_PERIOD = 20;

    private final MonotonicClock clock;
    private long periodBeganNanos;
    private int lines;
    private int leftOut;

    DecisionLog(MonotonicClock clock) {
        this.clock = clock;
        this.periodBeganNanos = clock.nowNanos();
    }

    /** Logs how a request ended and why; the reason is worked out only if the line is written. */
    void decision(String requestId, String outcome, Supplier<String> reason) {
        long nowNanos = clock.nowNanos();
        if (nowNanos - periodBeganNanos >= PERIOD_NANOS) {
            if (leftOut > 0) {
                LOGGER.log(Logger.Level.INFO, "{0} lines about requests were left out", leftOut);
            }
            periodBeganNanos = nowNanos;
            lines = 0;
            leftOut = 0;
        }
        if (lines >= LINES_IN_PERIOD) {
            leftOut++;
            return;
        }
        lines++;
        LOGGER.log(Logger.Level.INFO, "request {0} {1}: {2}", requestId, outcome, reason.get());
    }
}
