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
 * Spends the limits of teams on one host: makes requests freely as long as a team is far from its limit, and asks the
 * host that keeps account otherwise.
 *
 * <p>Invariants: of the requests that it made freely, no more than a few of a team are not answered for at any time;
 * beyond these, a request waits for a word. A host that reaches none that keeps account makes only its part of what the
 * sum over all hosts leaves safe. Owned by one thread.
 */
public final class QuotaClient {
    /** The least time between two reports to one host: what comes meanwhile goes together. */
    private static final long SPACING_NANOS = Duration.ofMillis(10).toNanos();
    /** For how long a host that did not answer is not asked. */
    private static final long AWAY_NANOS = Duration.ofSeconds(2).toNanos();
    /** When a caller is to come back that reached a host without any that keeps account: others are reached sooner. */
    private static final int ALONE_RETRY_MILLIS = 500;

    private final String self;
    private final QuotaBound bound;
    private final RandomGenerator random;
    private final Map<String, TeamSpender> spendings = new LinkedHashMap<>();
    private final Map<String, Charge> charges = new HashMap<>();
    private final Map<String, Long> awayUntilNanos = new HashMap<>();
    private final Map<Long, Outstanding> outstanding = new LinkedHashMap<>();
    /** The teams of which every request is to be asked for. */
    private final Set<String> mustAsk = new HashSet<>();

    private final List<QuotaAction> actions = new ArrayList<>();
    private final long startedNanos;
    private KeeperOrder order = new KeeperOrder(ImmutableList.of());
    private boolean current;
    private long lastReport;

    /**
     * Creates a spender that has spent nothing.
     *
     * @param self the peer address of this host
     */
    public QuotaClient(String self, QuotaBound bound, RandomGenerator random, long nowNanos) {
        this.self = self;
        this.bound = bound;
        this.random = random;
        this.startedNanos = nowNanos;
    }

    /** Takes the entry hosts of the agreed tables; what was spent of teams that others keep now is told to these. */
    public void setHosts(Collection<String> entryHosts, long nowNanos) {
        order = new KeeperOrder(entryHosts);
        charges.keySet().removeIf(owner -> !order.hosts().contains(owner));
        for (TeamSpender spending : spendings.values()) {
            String owner = order.ownerOf(spending.team());
            if (!owner.equals(spending.owner())) {
                move(spending, owner, nowNanos);
            }
        }
        wake(nowNanos);
    }

    /** Takes whether this host is in touch with a leader of control; if not, it makes no requests freely. */
    public void setControlReachable(boolean isCurrent) {
        current = isCurrent;
    }

    /** Takes word that this host was suspended: permissions from before are void, and nothing is known to be free. */
    public void handleSuspension(long nowNanos) {
        mustAsk.addAll(spendings.keySet());
        List.copyOf(outstanding.keySet()).forEach(id -> takeBack(id));
        wake(nowNanos);
    }

    /**
     * Asks for the permission to make one request, which is decided by an action, mostly at once.
     *
     * @param ticket names the request in the action
     */
    public void request(long ticket, String team, RateLimit limit, long nowNanos) {
        TeamSpender spending = spendings.computeIfAbsent(team, unused -> newSpending(team, nowNanos));
        spending.setLimit(limit);
        if (keeper(charge(spending.owner()), nowNanos).isEmpty()) {
            decideAlone(ticket, spending, nowNanos);
        } else if (mayMakeFreely(spending, nowNanos)) {
            spending.madeFreely(nowNanos);
            actions.add(new QuotaAction.Permit(ticket, QuotaAction.DecisionSource.FREE));
            markDue(spending);
        } else {
            spending.waits(ticket);
            markDue(spending);
        }
        wake(nowNanos);
    }

    /** Takes word that a request which was permitted did not run. */
    public void refund(String team, long nowNanos) {
        TeamSpender spending = spendings.get(team);
        if (spending != null) {
            spending.givenBack(nowNanos);
            markDue(spending);
            wake(nowNanos);
        }
    }

    /** Takes the answer to a report. */
    public void handleVerdict(long id, RateVerdict verdict, long nowNanos) {
        Outstanding report = outstanding.remove(id);
        if (report == null) {
            return;
        }
        awayUntilNanos.remove(report.host);
        boolean standsIn = !report.host.equals(report.charge.owner);
        for (TeamAllowance allowance : verdict.getTeamsList()) {
            TeamSpender.Told reported = report.teams.remove(allowance.getTeam());
            if (reported != null) {
                take(reported, allowance, verdict.getDeclined(), standsIn, nowNanos);
            }
        }
        report.teams.values().forEach(this::takeBack);
        wake(nowNanos);
    }

    /**
     * Takes word that no answer to a report came in time: another host is asked.
     *
     * @return false if the report was answered or given up before
     */
    public boolean handleReportFailure(long id, long nowNanos) {
        Outstanding report = outstanding.get(id);
        if (report == null) {
            return false;
        }
        awayUntilNanos.put(report.host, nowNanos + AWAY_NANOS);
        takeBack(id);
        wake(nowNanos);
        return true;
    }

    /** Takes word of a host that keeps account. */
    public void handleNotice(RateNotice notice) {
        for (TeamAllowance allowance : notice.getTeamsList()) {
            setMustAsk(allowance);
        }
    }

    /** Takes the call of a host that keeps account from now on, and returns what was spent before. */
    public RateCallResult handleCall(String from, RateCall call, long nowNanos) {
        String owner = call.getOwner();
        RateCallResult.Builder result = RateCallResult.newBuilder();
        ImmutableList<String> keepers = order.keepers(owner);
        int rank = keepers.indexOf(from);
        if (!order.hosts().contains(owner) || rank < 0) {
            return result.build();
        }
        Charge charge = charge(owner);
        if (!call.getTell() && !charge.following.equals(from)) {
            return result.build();
        }
        charge.notBeforeRank = rank;
        charge.notBeforeUntilNanos = nowNanos + AWAY_NANOS;
        awayUntilNanos.remove(from);
        if (call.getTell()) {
            charge.following = from;
            charge.calledNanos = nowNanos;
            charge.spendings.forEach(spending -> spending.reportAnew(nowNanos));
        }
        for (TeamSpender spending : charge.spendings) {
            if (call.getTell()) {
                spending.tellEarlier(nowNanos).ifPresent(result::addTeams);
            }
        }
        return result.setFollows(true)
                .setRememberedMillis((int)
                        Math.min(bound.window().toMillis(), TimeUnit.NANOSECONDS.toMillis(nowNanos - startedNanos)))
                .build();
    }

    /** Does what is due. */
    public void wake(long nowNanos) {
        for (Charge charge : List.copyOf(charges.values())) {
            if (charge.due.isEmpty()) {
                continue;
            }
            long dueNanos = charge.reportedNanos + SPACING_NANOS;
            if (nowNanos >= dueNanos) {
                report(charge, nowNanos);
            } else if (charge.wakeNanos != dueNanos) {
                charge.wakeNanos = dueNanos;
                actions.add(new QuotaAction.Wake(dueNanos));
            }
        }
    }

    /** Forgets teams of which nothing was spent within the window. To be called now and then. */
    public void evictIdle(long nowNanos) {
        spendings.values().removeIf(spending -> spending.isIdle(nowNanos));
        charges.values().forEach(charge -> charge.spendings.removeIf(spending -> spending.isIdle(nowNanos)));
    }

    /** Returns what is to be done, once. */
    public ImmutableList<QuotaAction> takeActions() {
        ImmutableList<QuotaAction> taken = ImmutableList.copyOf(actions);
        actions.clear();
        return taken;
    }

    /**
     * A host that has just started, or reports to another one than before, does not know of which teams it must ask; so
     * it asks for the first request.
     */
    private boolean mayMakeFreely(TeamSpender spending, long nowNanos) {
        long sinceNanos = charge(spending.owner()).calledNanos;
        boolean knows =
                spending.isAnswered() || nowNanos - sinceNanos >= bound.window().toNanos();
        return current
                && knows
                && !mustAsk.contains(spending.team())
                && spending.mayMakeFreely(order.hosts().size());
    }

    private TeamSpender newSpending(String team, long nowNanos) {
        TeamSpender spending = new TeamSpender(team, order.ownerOf(team), bound, nowNanos);
        charge(spending.owner()).spendings.add(spending);
        return spending;
    }

    private void move(TeamSpender spending, String owner, long nowNanos) {
        Charge before = charges.get(spending.owner());
        if (before != null) {
            before.spendings.remove(spending);
            before.due.remove(spending.team());
        }
        charge(owner).spendings.add(spending);
        spending.moveTo(owner, nowNanos);
        if (spending.hasToTell(nowNanos)) {
            markDue(spending);
        }
    }

    private void setMustAsk(TeamAllowance allowance) {
        if (allowance.getMustAsk()) {
            mustAsk.add(allowance.getTeam());
        } else {
            mustAsk.remove(allowance.getTeam());
        }
    }

    /** Decides by what the sum over all hosts leaves safe. */
    private void decideAlone(long ticket, TeamSpender spending, long nowNanos) {
        if (spending.makeAlone(partAlone(spending), nowNanos)) {
            actions.add(new QuotaAction.Permit(ticket, QuotaAction.DecisionSource.ALONE));
        } else {
            int millis = ALONE_RETRY_MILLIS + random.nextInt(ALONE_RETRY_MILLIS);
            actions.add(new QuotaAction.Refuse(ticket, millis, QuotaAction.DecisionSource.ALONE));
        }
    }

    /** Returns this host's part of the permissions of hosts that reach none; whole ones, by turns among the hosts. */
    private int partAlone(TeamSpender spending) {
        int count = order.hosts().size();
        int position = order.hosts().indexOf(self);
        if (position < 0) {
            return 0;
        }
        int turn = Math.floorMod(position + spending.team().hashCode(), count);
        int all = bound.alone(spending.limit());
        return all / count + (turn < all % count ? 1 : 0);
    }

    private Charge charge(String owner) {
        return charges.computeIfAbsent(owner, unused -> new Charge(owner, startedNanos));
    }

    /** Returns the host to report to: the first that is not known to be away. */
    private Optional<String> keeper(Charge charge, long nowNanos) {
        int first = nowNanos < charge.notBeforeUntilNanos ? charge.notBeforeRank : 0;
        return order.keepers(charge.owner).stream()
                .skip(first)
                .filter(host -> !host.isEmpty())
                .filter(host -> {
                    Long untilNanos = awayUntilNanos.get(host);
                    return untilNanos == null || nowNanos >= untilNanos;
                })
                .findFirst();
    }

    private void markDue(TeamSpender spending) {
        charge(spending.owner()).due.add(spending.team());
    }

    private void report(Charge charge, long nowNanos) {
        Optional<String> keeper = keeper(charge, nowNanos);
        List<TeamSpender> due = new ArrayList<>();
        for (String team : charge.due) {
            TeamSpender spending = spendings.get(team);
            if (spending != null && spending.owner().equals(charge.owner)) {
                due.add(spending);
            }
        }
        charge.due.clear();
        if (keeper.isEmpty()) {
            due.forEach(spending -> decideWaitingAlone(spending, nowNanos));
            return;
        }
        charge.reportedNanos = nowNanos;
        Outstanding sent = new Outstanding(keeper.get(), charge);
        RateReport.Builder report =
                RateReport.newBuilder().setOwner(charge.owner).setMoved(!charge.following.equals(keeper.get()));
        for (TeamSpender spending : due) {
            TeamSpender.Told told = spending.tell();
            sent.teams.put(spending.team(), told);
            report.addTeams(told.message(nowNanos));
        }
        if (!sent.teams.isEmpty()) {
            long id = ++lastReport;
            outstanding.put(id, sent);
            actions.add(new QuotaAction.Report(keeper.get(), id, report.build()));
        }
    }

    private void decideWaitingAlone(TeamSpender spending, long nowNanos) {
        spending.takeWaiting().forEach(ticket -> decideAlone(ticket, spending, nowNanos));
    }

    private void take(
            TeamSpender.Told reported, TeamAllowance allowance, boolean declined, boolean standsIn, long nowNanos) {
        TeamSpender spending = reported.spending();
        setMustAsk(allowance);
        reported.answered();
        if (declined) {
            reported.asked().forEach(ticket -> decideAlone(ticket, spending, nowNanos));
            return;
        }
        QuotaAction.DecisionSource ground =
                standsIn ? QuotaAction.DecisionSource.STAND_IN : QuotaAction.DecisionSource.ASKED;
        int granted = allowance.getGranted();
        long retryMicros = Duration.ofMillis(allowance.getRetryAfterMillis()).toNanos() / 1_000;
        for (long ticket : reported.asked()) {
            if (granted > 0) {
                granted--;
                spending.made(nowNanos);
                actions.add(new QuotaAction.Permit(ticket, ground));
            } else {
                long spread = random.nextInt(allowance.getRetryStepMicros() + 1);
                actions.add(new QuotaAction.Refuse(ticket, (retryMicros + spread) / 1_000, ground));
                retryMicros += allowance.getRetryStepMicros();
            }
        }
    }

    private void takeBack(TeamSpender.Told told) {
        told.takeBack();
        markDue(told.spending());
    }

    private void takeBack(long id) {
        Outstanding report = outstanding.remove(id);
        if (report != null) {
            report.teams.values().forEach(this::takeBack);
        }
    }

    /** The teams of one host, by the agreed tables. */
    private static final class Charge {
        private final String owner;
        private final Set<String> due = new LinkedHashSet<>();
        private String following;
        /** When a host began to keep account that may not have been told all; the start of this host at first. */
        private long calledNanos;

        private int notBeforeRank;
        private long notBeforeUntilNanos = Long.MIN_VALUE;
        private long reportedNanos = Long.MIN_VALUE / 2;
        private long wakeNanos = Long.MIN_VALUE;
        private final Set<TeamSpender> spendings = new LinkedHashSet<>();

        Charge(String owner, long calledNanos) {
            this.owner = owner;
            this.calledNanos = calledNanos;
            this.following = owner;
        }
    }

    /** A report that is not answered yet. */
    private static final class Outstanding {
        private final String host;
        private final Charge charge;
        private final Map<String, TeamSpender.Told> teams = new LinkedHashMap<>();

        Outstanding(String host, Charge charge) {
            this.host = host;
            this.charge = charge;
        }
    }
}
