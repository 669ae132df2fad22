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
 * Keeps account of the limits of some teams for all hosts: of those that are this host's by the agreed tables, and of
 * those of a host that it stands in for.
 *
 * <p>A host that begins to keep accounts which another one kept, or may have kept, calls on all hosts: from then on
 * they report to it, and they tell what they spent before. Until it has heard of most hosts it permits nothing, so that
 * of two hosts that both believe to be in charge one at the most permits anything. Its accounts begin with what was
 * spent; for hosts that do not tell, it assumes that they spent twice their even part.
 *
 * <p>Owned by one thread.
 */
public final class QuotaServer {
    /** How often hosts are called again that have not answered, or must be heard of late. */
    private static final long CALL_NANOS = Duration.ofMillis(250).toNanos();
    /** How long a host counts as one that reports here: two calls and the way. */
    private static final long HEARD_NANOS = Duration.ofMillis(600).toNanos();
    /**
     * How long reports wait for most hosts to answer a call: three times the way there and back between far regions,
     * and less than those that report wait.
     */
    private static final long HOLD_NANOS = Duration.ofMillis(80).toNanos();
    /** How long what hosts spent under another keeper may be under way: a change of the tables and a report. */
    private static final long DOUBT_NANOS = Duration.ofMillis(400).toNanos();
    /**
     * How long a host may take to notice that it is cut off from control: a reply that does not come, with some to
     * spare. A host that was in charge before may permit requests for so long.
     */
    private static final long NOTICED_NANOS = Duration.ofMillis(1_500).toNanos();
    /** A stand-in that was not asked for so long may have been followed by another one. */
    private static final long FORGOTTEN_NANOS = Duration.ofSeconds(2).toNanos();

    private static final double ASSUMED_PARTS = 2;
    private static final int MOST_HELD = 10_000;

    private final String self;
    private final QuotaBound bound;
    private final Map<String, Charge> charges = new HashMap<>();
    private final List<QuotaAction> actions = new ArrayList<>();
    private Teams teams = Teams.NONE;
    private ImmutableSet<String> hosts = ImmutableSet.of();
    private long rememberedSinceNanos;
    private long hostsChangedNanos;
    private boolean current;

    /**
     * Creates a keeper that remembers nothing.
     *
     * @param self the peer address of this host
     */
    public QuotaServer(String self, QuotaBound bound, long nowNanos) {
        this.self = self;
        this.bound = bound;
        this.rememberedSinceNanos = nowNanos;
        this.hostsChangedNanos = nowNanos;
    }

    /** Takes the limits in force. */
    public void setTeams(Teams inForce) {
        teams = inForce;
    }

    /** Takes the entry hosts of the agreed tables. */
    public void setHosts(Collection<String> entryHosts, long nowNanos) {
        hosts = ImmutableSet.copyOf(entryHosts);
        hostsChangedNanos = nowNanos;
        charges.keySet().removeIf(owner -> !hosts.contains(owner));
        charges.values().forEach(charge -> {
            charge.followers.keySet().retainAll(hosts);
            charge.settleIfAllTold(nowNanos);
        });
    }

    /** Takes whether this host is in touch with a leader of control. */
    public void setControlReachable(boolean isCurrent, long nowNanos) {
        if (current != isCurrent) {
            current = isCurrent;
            if (!isCurrent) {
                charges.values().forEach(charge -> charge.call(nowNanos));
            }
        }
    }

    /** Forgets every account, since this host was suspended: another one may have kept them meanwhile. */
    public void handleSuspension(long nowNanos) {
        charges.clear();
        rememberedSinceNanos = nowNanos;
    }

    /** Takes word that another host calls on all to report to it. */
    public void handleSuperseded(String owner, String by, long nowNanos) {
        if (!by.equals(self)) {
            charges.remove(owner);
            if (owner.equals(self)) {
                rememberedSinceNanos = nowNanos;
            }
        }
    }

    /**
     * Takes a report, which is answered by an action, now or later.
     *
     * @param token names the report in the answer
     */
    public void handleReport(String from, long token, RateReport report, long nowNanos) {
        Charge charge = charges.get(report.getOwner());
        if (charge == null || charge.isForgotten(nowNanos)) {
            charge = begin(report.getOwner(), nowNanos);
        } else if (report.getMoved() && charge.settled) {
            charge.callAnew(nowNanos);
        }
        charge.lastReportNanos = nowNanos;
        charge.heard(from, nowNanos);
        Held held = new Held(from, token, report);
        if (charge.mayPermit(nowNanos)) {
            answer(charge, held, nowNanos);
        } else if (charge.awaitsAnswers(nowNanos) && charge.held.size() < MOST_HELD) {
            charge.held.add(held);
        } else {
            decline(charge, held, nowNanos);
        }
    }

    /** Takes what a host says to a call. */
    public void handleCallResult(String from, String owner, RateCallResult result, long nowNanos) {
        Charge charge = charges.get(owner);
        if (charge == null || !hosts.contains(from)) {
            return;
        }
        if (!result.getFollows()) {
            charge.followers.remove(from);
            return;
        }
        charge.heard(from, nowNanos);
        if (!charge.settled && charge.told.put(from, result.getRememberedMillis()) == null) {
            result.getTeamsList().forEach(spending -> charge.told(spending, nowNanos));
            charge.reckon(nowNanos);
            charge.settleIfAllTold(nowNanos);
        }
        if (charge.mayPermit(nowNanos)) {
            charge.answerHeld(nowNanos);
        }
    }

    /** Does what is due. */
    public void wake(long nowNanos) {
        for (Charge charge : charges.values()) {
            if (!charge.held.isEmpty() && !charge.awaitsAnswers(nowNanos)) {
                charge.answerHeld(nowNanos);
            }
            if (charge.needsCalls(nowNanos) && nowNanos - charge.calledNanos >= CALL_NANOS) {
                charge.call(nowNanos);
            }
        }
    }

    /** Forgets accounts of which nothing was spent within the window. To be called now and then. */
    public void evictIdle(long nowNanos) {
        charges.values().forEach(charge -> charge.accounts.values().removeIf(account -> account.isIdle(nowNanos)));
    }

    /** Returns what is to be done, once. */
    public ImmutableList<QuotaAction> takeActions() {
        ImmutableList<QuotaAction> taken = ImmutableList.copyOf(actions);
        actions.clear();
        return taken;
    }

    private Charge begin(String owner, long nowNanos) {
        Charge charge = new Charge(owner, nowNanos);
        charges.put(owner, charge);
        boolean remembers = nowNanos - rememberedSinceNanos >= bound.window().toNanos();
        if (owner.equals(self) && remembers) {
            charge.settled = true;
        } else {
            charge.callAnew(nowNanos);
        }
        return charge;
    }

    private void answer(Charge charge, Held held, long nowNanos) {
        RateVerdict.Builder verdict = RateVerdict.newBuilder();
        for (TeamSpending spending : held.report.getTeamsList()) {
            verdict.addTeams(charge.take(spending, held.report.getMoved(), nowNanos));
        }
        actions.add(new QuotaAction.Answer(held.token, verdict.build()));
    }

    /** Counts what was spent, and permits nothing. */
    private void decline(Charge charge, Held held, long nowNanos) {
        RateVerdict.Builder verdict = RateVerdict.newBuilder().setDeclined(true);
        for (TeamSpending spending : held.report.getTeamsList()) {
            charge.take(spending.toBuilder().setAsked(0).build(), held.report.getMoved(), nowNanos);
            verdict.addTeams(
                    TeamAllowance.newBuilder().setTeam(spending.getTeam()).setMustAsk(true));
        }
        actions.add(new QuotaAction.Answer(held.token, verdict.build()));
    }

    /** A report that waits until most hosts have answered. */
    private record Held(String from, long token, RateReport report) {}

    /** The accounts of the teams of one host, by the agreed tables. */
    private final class Charge {
        private final String owner;
        private final Map<String, TeamAccount> accounts = new HashMap<>();
        private final Map<String, Long> followers = new HashMap<>();
        /** Of the hosts that told what they spent, for how many milliseconds they remember it. */
        private final Map<String, Integer> told = new HashMap<>();

        private final List<Held> held = new ArrayList<>();
        private long begunNanos;
        private long calledNanos;
        private long lastReportNanos;
        private OptionalLong missesMostSinceNanos = OptionalLong.empty();
        private boolean settled;

        Charge(String owner, long nowNanos) {
            this.owner = owner;
            this.begunNanos = nowNanos;
            this.calledNanos = nowNanos;
            this.lastReportNanos = nowNanos;
        }

        boolean isForgotten(long nowNanos) {
            return !owner.equals(self) && nowNanos - lastReportNanos > FORGOTTEN_NANOS;
        }

        /** Forgets the accounts and has every host tell what it spent. */
        void callAnew(long nowNanos) {
            accounts.clear();
            followers.clear();
            told.clear();
            settled = false;
            begunNanos = nowNanos;
            actions.add(new QuotaAction.RecordTakeover(owner));
            call(nowNanos);
        }

        /** Calls on the hosts that have not answered; while this host is not in touch with control, on all. */
        void call(long nowNanos) {
            calledNanos = nowNanos;
            for (String host : hosts) {
                boolean tells = !settled && !told.containsKey(host);
                if (tells || needsMost()) {
                    RateCall call =
                            RateCall.newBuilder().setOwner(owner).setTell(tells).build();
                    actions.add(new QuotaAction.Call(host, call));
                }
            }
            actions.add(new QuotaAction.Wake(nowNanos + HOLD_NANOS));
            actions.add(new QuotaAction.Wake(nowNanos + CALL_NANOS));
        }

        boolean needsCalls(long nowNanos) {
            boolean used = nowNanos - lastReportNanos < bound.window().toNanos();
            return used && (!settled || needsMost());
        }

        /**
         * Returns true if most hosts must have been heard of late, since requests of some team are permitted singly.
         */
        private boolean needsMost() {
            return !current || accounts.values().stream().anyMatch(TeamAccount::mustAsk);
        }

        boolean awaitsAnswers(long nowNanos) {
            return nowNanos - calledNanos < HOLD_NANOS;
        }

        void heard(String host, long nowNanos) {
            if (hosts.contains(host)) {
                followers.put(host, nowNanos);
            }
        }

        /**
         * Returns true if no other host can be in charge: most hosts report here, or this host has been in touch with
         * control for longer than it takes to notice that it is not.
         */
        boolean mayPermit(long nowNanos) {
            boolean sure = settled || nowNanos - begunNanos > NOTICED_NANOS;
            if ((sure && !needsMost()) || hearsMost(nowNanos)) {
                missesMostSinceNanos = OptionalLong.empty();
                return true;
            }
            if (missesMostSinceNanos.isEmpty()) {
                missesMostSinceNanos = OptionalLong.of(nowNanos);
                if (!awaitsAnswers(nowNanos)) {
                    call(nowNanos);
                }
            }
            return current && nowNanos - missesMostSinceNanos.getAsLong() > NOTICED_NANOS;
        }

        private boolean hearsMost(long nowNanos) {
            long heard = followers.values().stream()
                    .filter(heardNanos -> nowNanos - heardNanos <= HEARD_NANOS)
                    .count();
            return 2 * heard > hosts.size();
        }

        void settleIfAllTold(long nowNanos) {
            if (!settled && told.keySet().containsAll(hosts)) {
                reckon(nowNanos);
                settled = true;
            }
        }

        void told(TeamSpending spending, long nowNanos) {
            TeamAccount account = account(spending.getTeam(), nowNanos);
            if (account != null) {
                account.addEarlier(spending.getEarlierList(), nowNanos);
            }
        }

        void reckon(long nowNanos) {
            long windowMillis = bound.window().toMillis();
            long untoldMillis = hosts.stream()
                    .mapToLong(host -> windowMillis - told.getOrDefault(host, 0))
                    .sum();
            double doubt = Math.min(1, ASSUMED_PARTS * untoldMillis / windowMillis / Math.max(1, hosts.size()));
            accounts.values().forEach(account -> account.reckon(doubt, nowNanos));
        }

        void answerHeld(long nowNanos) {
            List<Held> waited = List.copyOf(held);
            held.clear();
            for (Held each : waited) {
                if (mayPermit(nowNanos)) {
                    answer(this, each, nowNanos);
                } else {
                    decline(this, each, nowNanos);
                }
            }
        }

        /**
         * Takes what a host tells of one team.
         *
         * @param moved true if the host reported to another one before: it tells what it spent when it is called
         */
        TeamAllowance.Builder take(TeamSpending spending, boolean moved, long nowNanos) {
            TeamAccount account = account(spending.getTeam(), nowNanos);
            if (account == null) {
                return TeamAllowance.newBuilder().setTeam(spending.getTeam()).setGranted(spending.getAsked());
            }
            if (spending.getEarlierCount() > 0 && !moved) {
                account.addEarlier(spending.getEarlierList(), nowNanos);
                account.reckon(0, nowNanos);
            }
            if (!moved) {
                account.spent(spending.getSpent(), nowNanos);
            }
            TeamAllowance.Builder allowance = account.ask(spending.getAsked(), inDoubt(nowNanos), nowNanos)
                    .setTeam(spending.getTeam())
                    .setMustAsk(account.mustAsk() || inDoubt(nowNanos));
            if (account.takeTurn()) {
                tell(spending.getTeam(), account.mustAsk());
            }
            return allowance;
        }

        private boolean inDoubt(long nowNanos) {
            return (!settled && nowNanos - begunNanos < bound.window().toNanos())
                    || nowNanos - Math.max(begunNanos, hostsChangedNanos) < DOUBT_NANOS;
        }

        private void tell(String team, boolean mustAsk) {
            actions.add(new QuotaAction.Notify(RateNotice.newBuilder()
                    .addTeams(TeamAllowance.newBuilder().setTeam(team).setMustAsk(mustAsk))
                    .build()));
        }

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
