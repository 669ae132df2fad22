package org.bramblerack.daemon.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.event.CounterSummary;
import org.bramblerack.daemon.leaf.ConnectionEvent;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.AttemptCounter;
import org.bramblerack.request.routed.RefusalReason;
import org.jspecify.annotations.Nullable;

/** The counters of the entry role, one for each reason, and how long answers took. Safe for use by many threads. */
public final class GatewayMetrics {
    private final Map<AttemptCounter, Counter> attempts = new EnumMap<>(AttemptCounter.class);
    private final Map<LeafOutcome, Counter> outcomes = new EnumMap<>(LeafOutcome.class);
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<ConnectionEvent, Counter> connections = new EnumMap<>(ConnectionEvent.class);
    private final MetricRegistry registry;
    private final MonotonicClock clock;
    private final Histogram answerMicros;
    private final Counter whole;
    private final Counter partial;
    private final Counter recordDeferredQuery;
    private final Counter recordQueuedRequest;
    private final Counter stagesAnswered;
    private final Counter stagesFailed;

    /** Creates the counters in a registry. */
    public GatewayMetrics(MetricRegistry registry, MonotonicClock clock) {
        this.registry = registry;
        this.clock = clock;
        this.answerMicros = registry.histogram("gateway_answer_micros");
        this.whole = registry.counter("gateway_answers_whole");
        this.partial = registry.counter("gateway_answers_partial");
        this.recordDeferredQuery = registry.counter("gateway_queries_held_back");
        this.recordQueuedRequest = registry.counter("gateway_requests_held_for_room");
        this.stagesAnswered = registry.counter("gateway_stages_answered");
        this.stagesFailed = registry.counter("gateway_stages_failed");
        for (AttemptCounter counter : AttemptCounter.values()) {
            attempts.put(counter, registry.counter("gateway_attempts_" + lower(counter)));
        }
        for (LeafOutcome outcome : LeafOutcome.values()) {
            outcomes.put(outcome, registry.counter("gateway_leaf_" + lower(outcome)));
        }
        for (ConnectionEvent event : ConnectionEvent.values()) {
            connections.put(event, registry.counter("gateway_leaf_connection_" + lower(event)));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("gateway_refused_" + lower(reason)));
        }
    }

    /** Notes that the answer to a request is on its way, of whichever kind. */
    void recordAnswer(long receivedNanos) {
        answerMicros.update(TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - receivedNanos));
    }

    /** Notes a request whose deadline is no number; it is served as if it named none. */
    void recordMalformedDeadline() {
        registry.counter("gateway_malformed_deadline").inc();
    }

    /** Notes a request that was refused before a route was found. */
    void recordUnroutedRefusal(String outcome) {
        registry.counter("gateway_refused_" + outcome.toLowerCase(Locale.ROOT)).inc();
    }

    /** Notes a query that will be late in any case and waits until the leafs have room. */
    void recordDeferredQuery() {
        recordDeferredQuery.inc();
    }

    /** Notes a request that waits because this host is behind. */
    void recordQueuedRequest() {
        recordQueuedRequest.inc();
    }

    void recordCall(Attempt.Purpose purpose, Distance distance) {
        registry.counter("gateway_asked_" + lower(purpose) + "_" + lower(distance))
                .inc();
    }

    void count(AttemptCounter counter) {
        increment(attempts.get(counter));
    }

    void count(LeafOutcome outcome) {
        increment(outcomes.get(outcome));
    }

    /** Notes what became of a connection to a leaf. */
    void count(ConnectionEvent event) {
        increment(connections.get(event));
    }

    void recordRefusal(RefusalReason reason) {
        increment(refusals.get(reason));
    }

    void recordMergedAnswer(int missing) {
        (missing == 0 ? whole : partial).inc();
    }

    void recordForwardedAnswer(int status) {
        registry.counter("gateway_passed_" + status).inc();
    }

    void recordStage(boolean answered) {
        (answered ? stagesAnswered : stagesFailed).inc();
    }

    /** Returns every counter that is not zero, for a log line. */
    String summary() {
        return CounterSummary.of(registry);
    }

    private static void increment(@Nullable Counter counter) {
        if (counter != null) {
            counter.inc();
        }
    }

    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
