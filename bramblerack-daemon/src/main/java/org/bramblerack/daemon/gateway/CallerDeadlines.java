package org.bramblerack.daemon.gateway;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.request.routed.FinalizeLead;
import org.bramblerack.version.routing.Route;

/** Determines the deadlines of requests from their headers and routes. Owned by the event loop. */
final class CallerDeadlines {
    /** Applies to callers that send no deadline; the timeout of the route still bounds it. */
    private static final long DEFAULT_CALLER_WAIT_NANOS = Duration.ofDays(1).toNanos();
    /** The final answer is sent this long before the deadline of the caller. */
    private static final long ANSWER_TRANSIT_NANOS = Duration.ofMillis(15).toNanos();

    private final FleetView view;
    private final CallHeaders names;
    private final GatewayMetrics metrics;
    private final FinalizeLead finalizeLead;

    CallerDeadlines(FleetView view, CallHeaders names, GatewayMetrics metrics, FinalizeLead finalizeLead) {
        this.view = view;
        this.names = names;
        this.metrics = metrics;
        this.finalizeLead = finalizeLead;
    }

    /**
     * Returns the deadlines of a request. Time that it waited on this host before it was read counts against the
     * deadline of the caller.
     */
    RequestTimes times(HttpExchange exchange, Route route) {
        long receivedNanos = exchange.receivedNanos();
        long arrivedNanos = view.routing().eventLoopLag().arrivalNanos(receivedNanos);
        long timeoutNanos = route.timeout().toNanos();
        long callerNanos = readCallerWaitNanos(exchange);
        long finalNanos = Math.min(timeoutNanos, Math.max(callerNanos / 2, callerNanos - ANSWER_TRANSIT_NANOS));
        long goalNanos = route.goal().isZero() ? finalNanos : route.goal().toNanos() - finalizeLead.nanos(route.goal());
        return new RequestTimes(
                receivedNanos + Math.max(0, goalNanos),
                arrivedNanos + finalNanos,
                arrivedNanos + Math.min(callerNanos, timeoutNanos));
    }

    private long readCallerWaitNanos(HttpExchange exchange) {
        String text = exchange.headers().get(names.deadlineMillis());
        if (text == null) {
            return DEFAULT_CALLER_WAIT_NANOS;
        }
        try {
            return TimeUnit.MILLISECONDS.toNanos(Math.max(0, Long.parseLong(text.trim())));
        } catch (NumberFormatException malformed) {
            metrics.recordMalformedDeadline();
            return DEFAULT_CALLER_WAIT_NANOS;
        }
    }
}
