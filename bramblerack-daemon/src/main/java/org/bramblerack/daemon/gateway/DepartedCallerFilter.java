package org.bramblerack.daemon.gateway;

import java.time.Duration;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpHandler;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.EventLoopLag;

/**
 * Drops requests whose callers have left while the event loop lagged: a request and the end of its connection may both
 * wait to be read. Owned by the event loop.
 */
final class DepartedCallerFilter implements HttpHandler {
    /** Callers rarely leave within this time. */
    private static final long MAX_UNCHECKED_LAG_NANOS = Duration.ofMillis(10).toNanos();

    private final EventLoopLag lag;
    private final MonotonicClock clock;
    private final HttpHandler handler;

    /**
     * Creates a filter.
     *
     * @param handler handles the requests whose callers still wait
     */
    DepartedCallerFilter(EventLoopLag lag, MonotonicClock clock, HttpHandler handler) {
        this.lag = lag;
        this.clock = clock;
        this.handler = handler;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (lag.lagNanos(clock.nowNanos()) > MAX_UNCHECKED_LAG_NANOS) {
            exchange.afterReading(() -> handler.handle(exchange));
        } else {
            handler.handle(exchange);
        }
    }
}
