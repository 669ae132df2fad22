package org.bramblerack.daemon.event;

import com.codahale.metrics.MetricRegistry;

/** Formats counters for a log line. Stateless and safe for use by many threads. */
public final class CounterSummary {
    private CounterSummary() {}

    /** Returns every counter that is not zero, as {@code name=count}, separated by spaces. */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> {
            if (counter.getCount() != 0) {
                text.append(text.length() == 0 ? "" : " ")
                        .append(name)
                        .append('=')
                        .append(counter.getCount());
            }
        });
        return text.toString();
    }
}
