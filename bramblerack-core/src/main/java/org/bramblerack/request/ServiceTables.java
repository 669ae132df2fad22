package org.bramblerack.request;

import java.time.Duration;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.RetryBudget;
import org.bramblerack.process.UpstreamTable;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.VersionRegistry;

/**
 * The state shared by all queries of one service.
 *
 * <p>Immutable; the components are thread-safe. Lock order: query, upstream evidence, latency tracker, retry budget,
 * versions.
 *
 * @param upstreams evidence about upstreams, shared by all services
 * @param versions the index versions that the service's upstreams serve
 * @param latency the latency of the service's upstream calls
 * @param budget the budget for retries and hedges
 */
public record ServiceTables(
        UpstreamTable upstreams, VersionRegistry versions, LatencyTracker latency, RetryBudget budget) {
    /** The quantile of the call latency beyond which a call counts as late and may be hedged. */
    public static final double LATE_QUANTILE_PERCENT = 97;

    private static final Duration INITIAL_LATE_THRESHOLD = Duration.ofMillis(50);
    private static final int RETRY_BUDGET_RESERVE = 20;

    /** Returns a copy that shares the collected state but has a new, full budget of the given limits. */
    public ServiceTables withLimits(UpstreamLimits limits) {
        return new ServiceTables(
                upstreams, versions, latency, RetryBudget.create(limits.extraLoadPercent(), RETRY_BUDGET_RESERVE));
    }

    /** Creates the state of a service without any observations. */
    public static ServiceTables create(UpstreamTable upstreams, UpstreamLimits limits) {
        return new ServiceTables(
                upstreams,
                new VersionRegistry(),
                new LatencyTracker(LATE_QUANTILE_PERCENT, INITIAL_LATE_THRESHOLD),
                RetryBudget.create(limits.extraLoadPercent(), RETRY_BUDGET_RESERVE));
    }
}
