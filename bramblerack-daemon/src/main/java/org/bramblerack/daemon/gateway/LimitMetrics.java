package org.bramblerack.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.bramblerack.process.quota.QuotaAction;

/**
 * The counters of limits on teams' rates.
 *
 * <p>A team has counters of its own as long as there are not many; those of the others are counted together. Owned by
 * the event loop.
 */
final class LimitMetrics {
    /** So many teams can be looked through by an operator, and cost a page of metrics some kilobytes. */
    private static final int TEAMS = 100;

    private final MetricRegistry registry;
    private final Set<String> teams = new HashSet<>();

    LimitMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    void permitted(QuotaAction.DecisionSource ground, String team) {
        count("permitted_" + ground.name().toLowerCase(Locale.ROOT));
        count("team_permitted_" + nameOf(team));
    }

    void refused(QuotaAction.DecisionSource ground, String team) {
        count("refused_" + ground.name().toLowerCase(Locale.ROOT));
        count("team_refused_" + nameOf(team));
    }

    void givenBack() {
        count("given_back");
    }

    void reported() {
        count("reports");
    }

    void reportFailed() {
        count("reports_failed");
    }

    void reportTaken() {
        count("reports_taken");
    }

    void called() {
        count("calls");
    }

    void callFailed() {
        count("calls_failed");
    }

    void tookOver() {
        count("accounts_taken_over");
    }

    void turned(boolean mustAsk) {
        count(mustAsk ? "teams_turned_must_ask" : "teams_turned_free");
    }

    private void count(String name) {
        registry.counter("limits_" + name).inc();
    }

    private String nameOf(String team) {
        if (!teams.contains(team)) {
            if (teams.size() >= TEAMS) {
                return "others";
            }
            teams.add(team);
        }
        return team.replaceAll("[^A-Za-z0-9]", "_");
    }
}
