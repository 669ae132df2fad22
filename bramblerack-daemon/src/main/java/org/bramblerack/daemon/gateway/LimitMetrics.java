package org.bramblerack.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.bramblerack.process.quota.QuotaAction;

/**
 * The counters of the teams' rate limits.
 *
 * <p>The first {@value #MAX_TEAMS} teams have their own counters; all others share one. Owned by the event loop.
 */
final class LimitMetrics {
    /** Bounds the size of the metrics page. */
    private static final int MAX_TEAMS = 100;

    private final MetricRegistry registry;
    private final Set<String> teams = new HashSet<>();

    LimitMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void recordPermitted(QuotaAction.DecisionSource source, String team) {
        count("permitted_" + source.name().toLowerCase(Locale.ROOT));
        count("team_permitted_" + counterName(team));
    }

    void recordRefused(QuotaAction.DecisionSource source, String team) {
        count("refused_" + source.name().toLowerCase(Locale.ROOT));
        count("team_refused_" + counterName(team));
    }

    void recordRefund() {
        count("given_back");
    }

    void recordReport() {
        count("reports");
    }

    void recordReportFailure() {
        count("reports_failed");
    }

    void recordReportReceived() {
        count("reports_taken");
    }

    void recordCall() {
        count("calls");
    }

    void recordCallFailure() {
        count("calls_failed");
    }

    void recordTakeover() {
        count("accounts_taken_over");
    }

    void recordModeChange(boolean mustAsk) {
        count(mustAsk ? "teams_turned_must_ask" : "teams_turned_free");
    }

    private void count(String name) {
        registry.counter("limits_" + name).inc();
    }

    private String counterName(String team) {
        if (!teams.contains(team)) {
            if (teams.size() >= MAX_TEAMS) {
                return "others";
            }
            teams.add(team);
        }
        return team.replaceAll("[^A-Za-z0-9]", "_");
    }
}
