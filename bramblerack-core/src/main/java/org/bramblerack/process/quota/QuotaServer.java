package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;
import org.bramblerack.wire.RateCall;
import org.bramblerack.wire.RateCallResult;
import org.bramblerack.wire.RateNotice;
import org.bramblerack.wire.RateReport;
import org.bramblerack.wire.RateVerdict;
import org.bramblerack.wire.TeamAllowance;
import org.bramblerack.wire.TeamSpending;
import org.jspecify.annotations.Nullable;

/**
 * Accounts for the rate limits of teams on behalf of all hosts: the teams that the replicated tables assign to this
 * host, and those of an owner for which this host is the backup.
 *
 * <p>A server that takes over accounts that another host has kept, or may have kept, calls all hosts. From then on the
 * hosts report to it, and they reply with what they spent before. The server permits nothing until a majority of hosts
 * has replied, so that of two servers for the same owner at most one permits requests. It rebuilds its accounts from
 * the replies, and assumes that a host which does not reply spent twice its even share.
 *
 * <p>Owned by one thread.
 */
public final class QuotaServer {
    /** The interval between calls to hosts that have not replied, or whose recent contact is required. */
    private static final long CALL_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    /** How long after its last contact a host counts as reporting here: two call intervals and the network delay. */
    private static final long CONTACT_TIMEOUT_NANOS = Duration.ofMillis(600).toNanos();
    /**
     * How long reports are queued until a majority of hosts replies to a call: three round trips between distant
     * regions, and less than the time-out of a report.
     */
    private static final long CALL_REPLY_WAIT_NANOS = Duration.ofMillis(80).toNanos();
    /** How long reports to the previous server may still be in transit: a change of the tables and a report. */
    private static final long HANDOVER_NANOS = Duration.ofMillis(400).toNanos();
    /**
     * The longest time in which a host detects that it lost control: a reply time-out with a margin. A previous server
     * may still permit requests for this long.
     */
    private static final long CONTROL_LOSS_DETECTION_NANOS =
            Duration.ofMillis(1_500).toNanos();
    /** A backup that receives no report for this long discards its accounts, since another host may serve them. */
    private static final long BACKUP_EXPIRY_NANOS = Duration.ofSeconds(2).toNanos();

    /** How many even shares a host that did not reply is assumed to have spent. */
    private static final double ASSUMED_EVEN_SHARES = 2;

    private static final int MAX_QUEUED_REPORTS = 10_000;

    private final String self;
    private final QuotaBound bound;
    private final Map<String, AccountGroup> groups = new HashMap<>();
    private final List<QuotaAction> actions = new ArrayList<>();
    private Teams teams = Teams.NONE;
    private ImmutableSet<String> hosts = ImmutableSet.of();
    private long historySinceNanos;
    private long hostsChangedNanos;
    private boolean controlReachable;

    /**
     * Creates a server without accounts.
     *
     * @param self the peer address of this host
     */
    public QuotaServer(String self, QuotaBound bound, long nowNanos) {
        this.self = self;
        this.bound = bound;
        this.historySinceNanos = nowNanos;
        this.hostsChangedNanos = nowNanos;
    }

    /** Sets the teams in force, with their limits. */
    public void setTeams(Teams inForce) {
        teams = inForce;
    }

    /** Sets the entry hosts of the replicated tables, and removes the accounts of owners that are gone. */
    public void setHosts(Collection<String> entryHosts, long nowNanos) {
        hosts = ImmutableSet.copyOf(entryHosts);
        hostsChangedNanos = nowNanos;
        groups.keySet().removeIf(owner -> !hosts.contains(owner));
        groups.values().forEach(group -> {
            group.lastContactNanos.keySet().retainAll(hosts);
            group.completeHistoryIfAllReported(nowNanos);
        });
    }

    /** Sets whether this host is connected to a leader of control; once it is not, it calls all hosts. */
    public void setControlReachable(boolean reachable, long nowNanos) {
        if (controlReachable != reachable) {
            controlReachable = reachable;
            if (!reachable) {
                groups.values().forEach(group -> group.callHosts(nowNanos));
            }
        }
    }

    /** Discards all accounts after this host was suspended, since another host may have kept them meanwhile. */
    public void handleSuspension(long nowNanos) {
        groups.clear();
        historySinceNanos = nowNanos;
    }

    /** Discards the accounts of an owner, since another host has called all hosts to report to it. */
    public void handleSuperseded(String owner, String newServer, long nowNanos) {
        if (!newServer.equals(self)) {
            groups.remove(owner);
            if (owner.equals(self)) {
                historySinceNanos = nowNanos;
            }
        }
    }

    /**
     * Handles a report, which is answered by a {@link QuotaAction.Answer}, now or later.
     *
     * @param token identifies the report in the answer
     */
    public void handleReport(String from, long token, RateReport report, long nowNanos) {
        AccountGroup group = groups.get(report.getOwner());
        if (group == null || group.isExpired(nowNanos)) {
            group = startGroup(report.getOwner(), nowNanos);
        } else if (report.getMoved() && group.historyComplete) {
            group.restart(nowNanos);
        }
        group.lastReportNanos = nowNanos;
        group.recordContact(from, nowNanos);
        QueuedReport queued = new QueuedReport(from, token, report);
        if (group.mayPermit(nowNanos)) {
            answer(group, queued, nowNanos);
        } else if (group.awaitsCallReplies(nowNanos) && group.queuedReports.size() < MAX_QUEUED_REPORTS) {
            group.queuedReports.add(queued);
        } else {
            decline(group, queued, nowNanos);
        }
    }

    /** Handles a host's reply to a call. */
    public void handleCallResult(String from, String owner, RateCallResult result, long nowNanos) {
        AccountGroup group = groups.get(owner);
        if (group == null || !hosts.contains(from)) {
            return;
        }
        if (!result.getFollows()) {
            group.lastContactNanos.remove(from);
            return;
        }
        group.recordContact(from, nowNanos);
        if (!group.historyComplete && group.historyMillisByHost.put(from, result.getRememberedMillis()) == null) {
            result.getTeamsList().forEach(spending -> group.addHistory(spending, nowNanos));
            group.recomputeAccounts(nowNanos);
            group.completeHistoryIfAllReported(nowNanos);
        }
        if (group.mayPermit(nowNanos)) {
            group.answerQueued(nowNanos);
        }
    }

    /** Answers reports that have been queued long enough, and repeats calls that are due. */
    public void wake(long nowNanos) {
        for (AccountGroup group : groups.values()) {
            if (!group.queuedReports.isEmpty() && !group.awaitsCallReplies(nowNanos)) {
                group.answerQueued(nowNanos);
            }
            if (group.needsCalls(nowNanos) && nowNanos - group.lastCallNanos >= CALL_INTERVAL_NANOS) {
                group.callHosts(nowNanos);
            }
        }
    }

    /** Removes accounts that spent nothing within the window. Call it periodically. */
    public void evictIdle(long nowNanos) {
        groups.values().forEach(group -> group.accounts.values().removeIf(account -> account.isIdle(nowNanos)));
    }

    /** Returns the actions since the last call, and removes them. */
    public ImmutableList<QuotaAction> takeActions() {
        ImmutableList<QuotaAction> taken = ImmutableList.copyOf(actions);
        actions.clear();
        return taken;
    }

    private AccountGroup startGroup(String owner, long nowNanos) {
        AccountGroup group = new AccountGroup(owner, nowNanos);
        groups.put(owner, group);
        boolean hasWholeHistory = nowNanos - historySinceNanos >= bound.window().toNanos();
        if (owner.equals(self) && hasWholeHistory) {
            group.historyComplete = true;
        } else {
            group.restart(nowNanos);
        }
        return group;
    }

    private void answer(AccountGroup group, QueuedReport queued, long nowNanos) {
        RateVerdict.Builder verdict = RateVerdict.newBuilder();
        for (TeamSpending spending : queued.report.getTeamsList()) {
            verdict.addTeams(group.apply(spending, queued.report.getMoved(), nowNanos));
        }
        actions.add(new QuotaAction.Answer(queued.token, verdict.build()));
    }

    /** Counts what the report says was spent, but permits nothing. */
    private void decline(AccountGroup group, QueuedReport queued, long nowNanos) {
        RateVerdict.Builder verdict = RateVerdict.newBuilder().setDeclined(true);
        for (TeamSpending spending : queued.report.getTeamsList()) {
            group.apply(spending.toBuilder().setAsked(0).build(), queued.report.getMoved(), nowNanos);
            verdict.addTeams(
                    TeamAllowance.newBuilder().setTeam(spending.getTeam()).setMustAsk(true));
        }
        actions.add(new QuotaAction.Answer(queued.token, verdict.build()));
    }

    /** A report that waits until a majority of hosts has replied to a call. */
    private record QueuedReport(String from, long token, RateReport report) {}

    /** The accounts of the teams that the replicated tables assign to one owner. */
    private final class AccountGroup {
        private final String owner;
        private final Map<String, TeamAccount> accounts = new HashMap<>();
        private final Map<String, Long> lastContactNanos = new HashMap<>();
        /** For each host that reported its earlier spending, how many milliseconds the report covers. */
        private final Map<String, Integer> historyMillisByHost = new HashMap<>();

        private final List<QueuedReport> queuedReports = new ArrayList<>();
        private long startedNanos;
        private long lastCallNanos;
        private long lastReportNanos;
        private OptionalLong majorityLostSinceNanos = OptionalLong.empty();
        private boolean historyComplete;

        AccountGroup(String owner, long nowNanos) {
            this.owner = owner;
            this.startedNanos = nowNanos;
            this.lastCallNanos = nowNanos;
            this.lastReportNanos = nowNanos;
        }

        boolean isExpired(long nowNanos) {
            return !owner.equals(self) && nowNanos - lastReportNanos > BACKUP_EXPIRY_NANOS;
        }

        /** Clears the accounts and requests the earlier spending of every host. */
        void restart(long nowNanos) {
            accounts.clear();
            lastContactNanos.clear();
            historyMillisByHost.clear();
            historyComplete = false;
            startedNanos = nowNanos;
            actions.add(new QuotaAction.RecordTakeover(owner));
            callHosts(nowNanos);
        }

        /** Calls the hosts that have not reported their history; calls all if a majority is required. */
        void callHosts(long nowNanos) {
            lastCallNanos = nowNanos;
            for (String host : hosts) {
                boolean needsHistory = !historyComplete && !historyMillisByHost.containsKey(host);
                if (needsHistory || needsMajority()) {
                    RateCall call = RateCall.newBuilder()
                            .setOwner(owner)
                            .setTell(needsHistory)
                            .build();
                    actions.add(new QuotaAction.Call(host, call));
                }
            }
            actions.add(new QuotaAction.Wake(nowNanos + CALL_REPLY_WAIT_NANOS));
            actions.add(new QuotaAction.Wake(nowNanos + CALL_INTERVAL_NANOS));
        }

        boolean needsCalls(long nowNanos) {
            boolean used = nowNanos - lastReportNanos < bound.window().toNanos();
            return used && (!historyComplete || needsMajority());
        }

        /**
         * Returns true if a majority of hosts must have been in contact recently: control is unreachable, or some team
         * must ask for each request.
         */
        private boolean needsMajority() {
            return !controlReachable || accounts.values().stream().anyMatch(TeamAccount::mustAsk);
        }

        boolean awaitsCallReplies(long nowNanos) {
            return nowNanos - lastCallNanos < CALL_REPLY_WAIT_NANOS;
        }

        void recordContact(String host, long nowNanos) {
            if (hosts.contains(host)) {
                lastContactNanos.put(host, nowNanos);
            }
        }

        /**
         * Returns true if no other server can permit requests of the same owner: a majority of hosts reports here, or
         * this host has been connected to control for longer than a host needs to detect that it is not.
         */
        boolean mayPermit(long nowNanos) {
            boolean isExclusive = historyComplete || nowNanos - startedNanos > CONTROL_LOSS_DETECTION_NANOS;
            if ((isExclusive && !needsMajority()) || hasMajority(nowNanos)) {
                majorityLostSinceNanos = OptionalLong.empty();
                return true;
            }
            if (majorityLostSinceNanos.isEmpty()) {
                majorityLostSinceNanos = OptionalLong.of(nowNanos);
                if (!awaitsCallReplies(nowNanos)) {
                    callHosts(nowNanos);
                }
            }
            return controlReachable && nowNanos - majorityLostSinceNanos.getAsLong() > CONTROL_LOSS_DETECTION_NANOS;
        }

        private boolean hasMajority(long nowNanos) {
            long inContact = lastContactNanos.values().stream()
                    .filter(contactNanos -> nowNanos - contactNanos <= CONTACT_TIMEOUT_NANOS)
                    .count();
            return 2 * inContact > hosts.size();
        }

        void completeHistoryIfAllReported(long nowNanos) {
            if (!historyComplete && historyMillisByHost.keySet().containsAll(hosts)) {
                recomputeAccounts(nowNanos);
                historyComplete = true;
            }
        }

        void addHistory(TeamSpending spending, long nowNanos) {
            TeamAccount account = account(spending.getTeam(), nowNanos);
            if (account != null) {
                account.addEarlier(spending.getEarlierList(), nowNanos);
            }
        }

        void recomputeAccounts(long nowNanos) {
            long windowMillis = bound.window().toMillis();
            long unreportedMillis = hosts.stream()
                    .mapToLong(host -> windowMillis - historyMillisByHost.getOrDefault(host, 0))
                    .sum();
            double unreportedShare =
                    Math.min(1, ASSUMED_EVEN_SHARES * unreportedMillis / windowMillis / Math.max(1, hosts.size()));
            accounts.values().forEach(account -> account.recompute(unreportedShare, nowNanos));
        }

        void answerQueued(long nowNanos) {
            List<QueuedReport> reports = List.copyOf(queuedReports);
            queuedReports.clear();
            for (QueuedReport each : reports) {
                if (mayPermit(nowNanos)) {
                    answer(this, each, nowNanos);
                } else {
                    decline(this, each, nowNanos);
                }
            }
        }

        /**
         * Applies a host's report on one team.
         *
         * @param moved true if the host reported to another server before; its spending then comes in its reply to a
         *     call, and is not counted here
         */
        TeamAllowance.Builder apply(TeamSpending spending, boolean moved, long nowNanos) {
            TeamAccount account = account(spending.getTeam(), nowNanos);
            if (account == null) {
                return TeamAllowance.newBuilder().setTeam(spending.getTeam()).setGranted(spending.getAsked());
            }
            if (spending.getEarlierCount() > 0 && !moved) {
                account.addEarlier(spending.getEarlierList(), nowNanos);
                account.recompute(0, nowNanos);
            }
            if (!moved) {
                account.recordSpent(spending.getSpent(), nowNanos);
            }
            TeamAllowance.Builder allowance = account.grant(spending.getAsked(), isUncertain(nowNanos), nowNanos)
                    .setTeam(spending.getTeam())
                    .setMustAsk(account.mustAsk() || isUncertain(nowNanos));
            if (account.takeMustAskChange()) {
                notifyHosts(spending.getTeam(), account.mustAsk());
            }
            return allowance;
        }

        /** Returns true if hosts may have spent what this server does not know of yet. */
        private boolean isUncertain(long nowNanos) {
            return (!historyComplete && nowNanos - startedNanos < bound.window().toNanos())
                    || nowNanos - Math.max(startedNanos, hostsChangedNanos) < HANDOVER_NANOS;
        }

        private void notifyHosts(String team, boolean mustAsk) {
            actions.add(new QuotaAction.Notify(RateNotice.newBuilder()
                    .addTeams(TeamAllowance.newBuilder().setTeam(team).setMustAsk(mustAsk))
                    .build()));
        }

        /** Returns the account of a team, or null if the team has no limit. */
        private @Nullable TeamAccount account(String team, long nowNanos) {
            RateLimit limit = teams.named(team).map(Team::limit).orElse(RateLimit.NONE);
            if (limit.isUnlimited()) {
                accounts.remove(team);
                return null;
            }
            TeamAccount account = accounts.computeIfAbsent(team, unused -> new TeamAccount(bound, limit, nowNanos));
            account.setLimit(limit, nowNanos);
            return account;
        }
    }
}
