package org.bramblerack.request;

import java.time.Duration;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.RetryBudget;
import org.bramblerack.process.UpstreamTable;
import org.bramblerack.version.UpstreamLimits;
import org.bramblerack.version.VersionRegistry;

/**
 * The shared tables that the queries of one service consult.
 *
 * <p>Immutable; the tables themselves are safe for use by many threads. Lock order: query, upstream evidence, latency
 * tracker, retry budget, version board.
 *
 * @param upstreams evidence about upstreams, shared by all services
 * @param versions the index versions of the service
 * @param latency the latency of the service's leaf replies
 * @param budget the retries and hedges of the service
 */
public record ServiceTables(
        UpstreamTable upstreams, VersionRegistry versions, LatencyTracker latency, RetryBudget budget) {
    /** The quantile of the leaf latency after which a reply is late. */
    public static final double LATE_QUANTILE_PERCENT = 97;

    private static final Duration INITIAL_LATE = Duration.ofMillis(50);
    private static final int BUDGET_RESERVE = 20;

    /** Returns tables that keep what was learned and have a fresh budget of the given limits. */
    public ServiceTables withLimits(UpstreamLimits limits) {
        return new ServiceTables(
                upstreams, versions, latency, RetryBudget.create(limits.extraLoadPercent(), BUDGET_RESERVE));
    }

    /** Creates empty tables for a service. */
    public static ServiceTables create(UpstreamTable upstreams, UpstreamLimits limits) {
        return new ServiceTables(
                upstreams,
                new VersionRegistry(),
                new LatencyTracker(LATE_QUANTILE_PERCENT, INITIAL_LATE),
                RetryBudget.create(limits.extraLoadPercent(), BUDGET_RESERVE));
    }
}
