package org.bramblerack.daemon.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Serves the metrics of a process in the Prometheus text format.
 *
 * <p>Safe for use by many threads.
 */
public final class MetricsPage implements HttpHandler {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

    private final String path;
    private final MetricRegistry registry;

    /** Creates a page that serves the registry's metrics at the given path. */
    public MetricsPage(String path, MetricRegistry registry) {
        this.path = path;
        this.registry = registry;
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals(path)) {
            exchange.respond(OK, "text/plain; version=0.0.4", render());
        } else {
            exchange.respond(NOT_FOUND, "text/plain", "the metrics are at " + path + "\n");
        }
    }

    private String render() {
        StringBuilder text = new StringBuilder(4_096);
        registry.getCounters().forEach((name, counter) -> appendLine(text, name, Long.toString(counter.getCount())));
        registry.getGauges().forEach((name, gauge) -> appendLine(text, name, String.valueOf(gauge.getValue())));
        registry.getHistograms().forEach((name, histogram) -> {
            Snapshot snapshot = histogram.getSnapshot();
            for (double quantile : QUANTILES) {
                String labelled = name + "{quantile=\"" + quantile + "\"}";
                appendLine(text, labelled, Long.toString((long) snapshot.getValue(quantile)));
            }
            appendLine(text, name + "_count", Long.toString(histogram.getCount()));
        });
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, String value) {
        text.append(name).append(' ').append(value).append('\n');
    }
}
