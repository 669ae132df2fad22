package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.wire.RateCall;
import org.bramblerack.wire.RateCallResult;
import org.bramblerack.wire.RateNotice;
import org.bramblerack.wire.RateReport;
import org.bramblerack.wire.RateVerdict;
import org.bramblerack.wire.TeamAllowance;

/**
 * Enforces the rate limits of teams on one host. While a team is far from its limit, its requests are permitted at once
 * and reported afterwards; otherwise each request waits for permission from the team's quota server.
 *
 * <p>Invariants: only a bounded number of a team's requests that were permitted at once are unconfirmed by the server
 * at any time; further requests wait. A host that reaches no server permits only its share of an allowance that keeps
 * all hosts together within the bound. Owned by one thread.
 */
public final class QuotaClient {
    /** The minimum interval between two reports on one owner's teams; spending in between is batched. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(10).toNanos();
    /** How long a server that did not answer is skipped. */
    private static final long UNREACHABLE_NANOS = Duration.ofSeconds(2).toNanos();
    /** The minimum retry delay of a caller that was refused because this host reaches no server. */
    private static final int ISOLATED_RETRY_MILLIS = 500;

    private final String self;
    private final QuotaBound bound;
    private final RandomGenerator random;
    private final Map<String, TeamQuotaClient> teams = new LinkedHashMap<>();
    /** By the owner of the teams. */
    private final Map<String, TeamGroup> groups = new HashMap<>();

    private final Map<String, Long> unreachableUntilNanos = new HashMap<>();
    private final Map<Long, PendingReport> pendingReports = new LinkedHashMap<>();
    /** The teams whose every request needs permission from their server. */
    private final Set<String> mustAsk = new HashSet<>();

    private final List<QuotaAction> actions = new ArrayList<>();
    private final long startedNanos;
    private QuotaServerOrder serverOrder = new QuotaServerOrder(ImmutableList.of());
    private boolean controlReachable;
    private long lastReportId;

    /**
     * Creates a client that has spent nothing.
     *
     * @param self the peer address of this host
     */
    public QuotaClient(String self, QuotaBound bound, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.bound = bound;
        this.random = random;
        this.startedNanos = nowNanos;
    }

    /**
     * Sets the entry hosts of the replicated tables, and reports the spending of reassigned teams to their new owners.
     */
    public void setHosts(Collection<String> entryHosts, long nowNanos) {
        serverOrder = new QuotaServerOrder(entryHosts);
        groups.keySet().removeIf(owner -> !serverOrder.hosts().contains(owner));
        for (TeamQuotaClient client : teams.values()) {
            String owner = serverOrder.ownerOf(client.team());
            if (!owner.equals(client.owner())) {
                moveTeam(client, owner, nowNanos);
            }
        }
        wake(nowNanos);
    }

    /** Sets whether this host is connected to a leader of control; if not, every request needs permission. */
    public void setControlReachable(boolean reachable) {
        controlReachable = reachable;
    }

    /** Drops pending reports after this host was suspended, and has every team ask for permission again. */
    public void handleSuspension(long nowNanos) {
        mustAsk.addAll(teams.keySet());
        List.copyOf(pendingReports.keySet()).forEach(id -> revert(id));
        wake(nowNanos);
    }

    /**
     * Requests permission for one request. A {@link QuotaAction.Permit} or {@link QuotaAction.Refuse} follows, mostly
     * at once.
     *
     * @param ticket identifies the request in the action
     */
    public void request(long ticket, String team, RateLimit limit, long nowNanos) {
        TeamQuotaClient client = teams.computeIfAbsent(team, unused -> addTeam(team, nowNanos));
        client.setLimit(limit);
        if (selectServer(group(client.owner()), nowNanos).isEmpty()) {
            decideIsolated(ticket, client, nowNanos);
        } else if (maySendFreely(client, nowNanos)) {
            client.recordFree(nowNanos);
            actions.add(new QuotaAction.Permit(ticket, QuotaAction.DecisionSource.FREE));
            markDue(client);
        } else {
            client.enqueue(ticket);
            markDue(client);
        }
        wake(nowNanos);
    }

    /** Refunds a request that was permitted but did not run. */
    public void refund(String team, long nowNanos) {
        TeamQuotaClient client = teams.get(team);
        if (client != null) {
            client.refund(nowNanos);
            markDue(client);
            wake(nowNanos);
        }
    }

    /** Handles the answer to a report. */
    public void handleVerdict(long id, RateVerdict verdict, long nowNanos) {
        PendingReport report = pendingReports.remove(id);
        if (report == null) {
            return;
        }
        unreachableUntilNanos.remove(report.host);
        boolean isBackup = !report.host.equals(report.group.owner);
        for (TeamAllowance allowance : verdict.getTeamsList()) {
            TeamQuotaClient.TeamReport reported = report.teams.remove(allowance.getTeam());
            if (reported != null) {
                applyAllowance(reported, allowance, verdict.getDeclined(), isBackup, nowNanos);
            }
        }
        report.teams.values().forEach(this::revert);
        wake(nowNanos);
    }

    /**
     * Handles the time-out of a report: its content is reported to another server.
     *
     * @return false if the report was answered or abandoned before
     */
    public boolean handleReportFailure(long id, long nowNanos) {
        PendingReport report = pendingReports.get(id);
        if (report == null) {
            return false;
        }
        unreachableUntilNanos.put(report.host, nowNanos + UNREACHABLE_NANOS);
        revert(id);
        wake(nowNanos);
        return true;
    }

    /** Handles a server's notice of which teams must ask for permission. */
    public void handleNotice(RateNotice notice) {
        for (TeamAllowance allowance : notice.getTeamsList()) {
            setMustAsk(allowance);
        }
    }

    /** Handles the call of a server that takes over an owner's teams, and returns what was spent on them before. */
    public RateCallResult handleCall(String from, RateCall call, long nowNanos) {
        String owner = call.getOwner();
        RateCallResult.Builder result = RateCallResult.newBuilder();
        ImmutableList<String> servers = serverOrder.servers(owner);
        int rank = servers.indexOf(from);
        if (!serverOrder.hosts().contains(owner) || rank < 0) {
            return result.build();
        }
        TeamGroup group = group(owner);
        if (!call.getTell() && !group.server.equals(from)) {
            return result.build();
        }
        group.minRank = rank;
        group.minRankUntilNanos = nowNanos + UNREACHABLE_NANOS;
        unreachableUntilNanos.remove(from);
        if (call.getTell()) {
            group.server = from;
            group.serverSinceNanos = nowNanos;
            group.clients.forEach(client -> client.changeServer(nowNanos));
        }
        for (TeamQuotaClient client : group.clients) {
            if (call.getTell()) {
                client.reportEarlier(nowNanos).ifPresent(result::addTeams);
            }
        }
        return result.setFollows(true)
                .setRememberedMillis((int)
                        Math.min(bound.window().toMillis(), TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos)))
                .build();
    }

    /** Sends the reports that are due. */
    public void wake(long nowNanos) {
        for (TeamGroup group : List.copyOf(groups.values())) {
            if (group.dueTeams.isEmpty()) {
                continue;
            }
            long dueNanos = group.lastReportNanos + REPORT_INTERVAL_NANOS;
            if (nowNanos >= dueNanos) {
                sendReport(group, nowNanos);
            } else if (group.wakeNanos != dueNanos) {
                group.wakeNanos = dueNanos;
                actions.add(new QuotaAction.Wake(dueNanos));
            }
        }
    }

    /** Removes teams that spent nothing within the window. Call it periodically. */
    public void evictIdle(long nowNanos) {
        teams.values().removeIf(client -> client.isIdle(nowNanos));
        groups.values().forEach(group -> group.clients.removeIf(client -> client.isIdle(nowNanos)));
    }

    /** Returns the actions since the last call, and removes them. */
    public ImmutableList<QuotaAction> takeActions() {
        ImmutableList<QuotaAction> taken = ImmutableList.copyOf(actions);
        actions.clear();
        return taken;
    }

    /**
     * Returns true if a request may be permitted without asking. After a start or a change of server the host does not
     * know which teams must ask, so a team's first request asks.
     */
    private boolean maySendFreely(TeamQuotaClient client, long nowNanos) {
        long sinceNanos = group(client.owner()).serverSinceNanos;
        boolean mustAskIsKnown =
                client.isConfirmed() || nowNanos - sinceNanos >= bound.window().toNanos();
        return controlReachable
                && mustAskIsKnown
                && !mustAsk.contains(client.team())
                && client.maySendFreely(serverOrder.hosts().size());
    }

    private TeamQuotaClient addTeam(String team, long nowNanos) {
        TeamQuotaClient client = new TeamQuotaClient(team, serverOrder.ownerOf(team), bound, nowNanos);
        group(client.owner()).clients.add(client);
        return client;
    }

    private void moveTeam(TeamQuotaClient client, String owner, long nowNanos) {
        TeamGroup before = groups.get(client.owner());
        if (before != null) {
            before.clients.remove(client);
            before.dueTeams.remove(client.team());
        }
        group(owner).clients.add(client);
        client.setOwner(owner, nowNanos);
        if (client.needsReport(nowNanos)) {
            markDue(client);
        }
    }

    private void setMustAsk(TeamAllowance allowance) {
        if (allowance.getMustAsk()) {
            mustAsk.add(allowance.getTeam());
        } else {
            mustAsk.remove(allowance.getTeam());
        }
    }

    /** Decides a request by this host's share of the allowance of hosts that reach no server. */
    private void decideIsolated(long ticket, TeamQuotaClient client, long nowNanos) {
        if (client.spendIsolated(isolatedShare(client), nowNanos)) {
            actions.add(new QuotaAction.Permit(ticket, QuotaAction.DecisionSource.ALONE));
        } else {
            int millis = ISOLATED_RETRY_MILLIS + random.nextInt(ISOLATED_RETRY_MILLIS);
            actions.add(new QuotaAction.Refuse(ticket, millis, QuotaAction.DecisionSource.ALONE));
        }
    }

    /** Returns this host's share of the allowance of isolated hosts; the remainder is spread by team and position. */
    private int isolatedShare(TeamQuotaClient client) {
        int count = serverOrder.hosts().size();
        int position = serverOrder.hosts().indexOf(self);
        if (position < 0) {
            return 0;
        }
        int turn = Math.floorMod(position + client.team().hashCode(), count);
        int total = bound.allowanceOfIsolatedHosts(client.limit());
        return total / count + (turn < total % count ? 1 : 0);
    }

    private TeamGroup group(String owner) {
        return groups.computeIfAbsent(owner, unused -> new TeamGroup(owner, startedNanos));
    }

    /** Returns the first server that is not known to be unreachable, or empty if there is none. */
    private Optional<String> selectServer(TeamGroup group, long nowNanos) {
        int first = nowNanos < group.minRankUntilNanos ? group.minRank : 0;
        return serverOrder.servers(group.owner).stream()
                .skip(first)
                .filter(host -> !host.isEmpty())
                .filter(host -> {
                    Long untilNanos = unreachableUntilNanos.get(host);
                    return untilNanos == null || nowNanos >= untilNanos;
                })
                .findFirst();
    }

    private void markDue(TeamQuotaClient client) {
        group(client.owner()).dueTeams.add(client.team());
    }

    private void sendReport(TeamGroup group, long nowNanos) {
        Optional<String> server = selectServer(group, nowNanos);
        List<TeamQuotaClient> due = new ArrayList<>();
        for (String team : group.dueTeams) {
            TeamQuotaClient client = teams.get(team);
            if (client != null && client.owner().equals(group.owner)) {
                due.add(client);
            }
        }
        group.dueTeams.clear();
        if (server.isEmpty()) {
            due.forEach(client -> decideWaitingIsolated(client, nowNanos));
            return;
        }
        group.lastReportNanos = nowNanos;
        PendingReport sent = new PendingReport(server.get(), group);
        RateReport.Builder report =
                RateReport.newBuilder().setOwner(group.owner).setMoved(!group.server.equals(server.get()));
        for (TeamQuotaClient client : due) {
            TeamQuotaClient.TeamReport teamReport = client.startReport();
            sent.teams.put(client.team(), teamReport);
            report.addTeams(teamReport.toMessage(nowNanos));
        }
        if (!sent.teams.isEmpty()) {
            long id = ++lastReportId;
            pendingReports.put(id, sent);
            actions.add(new QuotaAction.Report(server.get(), id, report.build()));
        }
    }

    private void decideWaitingIsolated(TeamQuotaClient client, long nowNanos) {
        client.drainWaiting().forEach(ticket -> decideIsolated(ticket, client, nowNanos));
    }

    private void applyAllowance(
            TeamQuotaClient.TeamReport reported,
            TeamAllowance allowance,
            boolean declined,
            boolean isBackup,
            long nowNanos) {
        TeamQuotaClient client = reported.client();
        setMustAsk(allowance);
        reported.confirm();
        if (declined) {
            reported.tickets().forEach(ticket -> decideIsolated(ticket, client, nowNanos));
            return;
        }
        QuotaAction.DecisionSource source =
                isBackup ? QuotaAction.DecisionSource.STAND_IN : QuotaAction.DecisionSource.ASKED;
        int granted = allowance.getGranted();
        long retryMicros = Duration.ofMillis(allowance.getRetryAfterMillis()).toNanos() / 1_000;
        for (long ticket : reported.tickets()) {
            if (granted > 0) {
                granted--;
                client.recordPermitted(nowNanos);
                actions.add(new QuotaAction.Permit(ticket, source));
            } else {
                long jitterMicros = random.nextInt(allowance.getRetryStepMicros() + 1);
                actions.add(new QuotaAction.Refuse(ticket, (retryMicros + jitterMicros) / 1_000, source));
                retryMicros += allowance.getRetryStepMicros();
            }
        }
    }

    private void revert(TeamQuotaClient.TeamReport teamReport) {
        teamReport.revert();
        markDue(teamReport.client());
    }

    private void revert(long id) {
        PendingReport report = pendingReports.remove(id);
        if (report != null) {
            report.teams.values().forEach(this::revert);
        }
    }

    /** The teams that the replicated tables assign to one owner, and the server that they are reported to. */
    private static final class TeamGroup {
        private final String owner;
        private final Set<String> dueTeams = new LinkedHashSet<>();
        private String server;
        /** When the current server took over, or when this host started. */
        private long serverSinceNanos;

        /** Servers before this rank are skipped until {@link #minRankUntilNanos}. */
        private int minRank;

        private long minRankUntilNanos = Long.MIN_VALUE;
        private long lastReportNanos = Long.MIN_VALUE / 2;
        private long wakeNanos = Long.MIN_VALUE;
        private final Set<TeamQuotaClient> clients = new LinkedHashSet<>();

        TeamGroup(String owner, long serverSinceNanos) {
            this.owner = owner;
            this.serverSinceNanos = serverSinceNanos;
            this.server = owner;
        }
    }

    /** A report that was sent and is not answered yet. */
    private static final class PendingReport {
        private final String host;
        private final TeamGroup group;
        private final Map<String, TeamQuotaClient.TeamReport> teams = new LinkedHashMap<>();

        PendingReport(String host, TeamGroup group) {
            this.host = host;
            this.group = group;
        }
    }
}
