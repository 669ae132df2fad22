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

/** The metrics of the entry role: counters by outcome and reason, and the latency of answers. Thread-safe. */
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
    private final Counter deferredQueries;
    private final Counter queuedRequests;
    private final Counter stagesAnswered;
    private final Counter stagesFailed;

    /** Registers all metrics. */
    public GatewayMetrics(MetricRegistry registry, MonotonicClock clock) {
        this.registry = registry;
        this.clock = clock;
        this.answerMicros = registry.histogram("gateway_answer_micros");
        this.whole = registry.counter("gateway_answers_whole");
        this.partial = registry.counter("gateway_answers_partial");
        this.deferredQueries = registry.counter("gateway_queries_held_back");
        this.queuedRequests = registry.counter("gateway_requests_held_for_room");
        this.stagesAnswered = registry.counter("gateway_stages_answered");
        this.stagesFailed = registry.counter("gateway_stages_failed");
        for (AttemptCounter counter : AttemptCounter.values()) {
            attempts.put(counter, registry.counter("gateway_attempts_" + lowerCaseName(counter)));
        }
        for (LeafOutcome outcome : LeafOutcome.values()) {
            outcomes.put(outcome, registry.counter("gateway_leaf_" + lowerCaseName(outcome)));
        }
        for (ConnectionEvent event : ConnectionEvent.values()) {
            connections.put(event, registry.counter("gateway_leaf_connection_" + lowerCaseName(event)));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("gateway_refused_" + lowerCaseName(reason)));
        }
    }

    /** Records the time from receiving a request to answering or refusing it. */
    void recordAnswer(long receivedNanos) {
        answerMicros.update(TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - receivedNanos));
    }

    /** Records a request with a malformed deadline; it is served as if it had none. */
    void recordMalformedDeadline() {
        registry.counter("gateway_malformed_deadline").inc();
    }

    /** Records a request that was refused before its route was found. */
    void recordUnroutedRefusal(String outcome) {
        registry.counter("gateway_refused_" + outcome.toLowerCase(Locale.ROOT)).inc();
    }

    /** Records a query that cannot meet its goal and is deferred until the leaves have capacity. */
    void recordDeferredQuery() {
        deferredQueries.inc();
    }

    /** Records a request that is queued because this host is lagging. */
    void recordQueuedRequest() {
        queuedRequests.inc();
    }

    void recordCall(Attempt.Purpose purpose, Distance distance) {
        registry.counter("gateway_asked_" + lowerCaseName(purpose) + "_" + lowerCaseName(distance))
                .inc();
    }

    void count(AttemptCounter counter) {
        increment(attempts.get(counter));
    }

    void count(LeafOutcome outcome) {
        increment(outcomes.get(outcome));
    }

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

    /** Returns all counters that are not zero, for a log line. */
    String summary() {
        return CounterSummary.of(registry);
    }

    private static void increment(@Nullable Counter counter) {
        if (counter != null) {
            counter.inc();
        }
    }

    private static String lowerCaseName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
