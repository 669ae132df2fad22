package org.bramblerack.daemon.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.QueryCounter;
import org.bramblerack.request.RefusalKind;

/**
 * The counters, timers and gauges of one process, described in {@code docs/METRICS.md}.
 *
 * <p>Every counter of an enum exists from the start, so that it is shown as 0 before its first count. Safe for use by
 * many threads.
 */
public final class HostMetrics {
    private final MetricRegistry registry = new MetricRegistry();
    private final CollectorRegistry collectors = new CollectorRegistry();
    private final Map<QueryCounter, Counter> queryCounters = new EnumMap<>(QueryCounter.class);
    private final Map<RefusalKind, Counter> refusalCounters = new EnumMap<>(RefusalKind.class);
    private final Map<LeafFailure, Counter> failureCounters = new EnumMap<>(LeafFailure.class);

    /** Creates the metrics with all counts at 0. */
    public HostMetrics() {
        for (QueryCounter counter : QueryCounter.values()) {
            queryCounters.put(counter, registry.counter("query." + counter.code()));
        }
        for (RefusalKind kind : RefusalKind.values()) {
            refusalCounters.put(kind, registry.counter("refusal." + kind.code()));
        }
        for (LeafFailure failure : LeafFailure.values()) {
            failureCounters.put(failure, registry.counter("leaf-failure." + failure.code()));
        }
        new DropwizardExports(registry).register(collectors);
    }

    /** Increments a counter of the query path. */
    public void count(QueryCounter counter) {
        increment(queryCounters.get(counter));
    }

    /** Increments the counter of a kind of refusal. */
    public void count(RefusalKind kind) {
        increment(refusalCounters.get(kind));
    }

    /** Increments the counter of a kind of failed leaf calls. */
    public void count(LeafFailure failure) {
        increment(failureCounters.get(failure));
    }

    /** Increments the counter of a name, creating it if necessary. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Returns the timer of a name, creating it if necessary. */
    public Timer timer(String name) {
        return registry.timer(name);
    }

    /** Returns the current count of a query counter. */
    public long countOf(QueryCounter counter) {
        Counter queryCounter = queryCounters.get(counter);
        return queryCounter == null ? 0 : queryCounter.getCount();
    }

    /** Registers a gauge under a name. */
    public void gauge(String name, LongSupplier value) {
        registry.register(name, (Gauge<Long>) value::getAsLong);
    }

    /** Returns all metrics in the Prometheus text format, version 0.0.4. */
    public String toText() {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, collectors.metricFamilySamples());
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString();
    }

    private static void increment(@org.jspecify.annotations.Nullable Counter counter) {
        if (counter != null) {
            counter.inc();
        }
    }
}
