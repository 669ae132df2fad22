package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.event.LogRateLimiter;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.SuspendDetector;
import org.bramblerack.process.quota.QuotaAction;
import org.bramblerack.process.quota.QuotaBound;
import org.bramblerack.process.quota.QuotaClient;
import org.bramblerack.process.quota.QuotaServer;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.version.routing.Team;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.RateCall;
import org.bramblerack.wire.RateCallResult;
import org.bramblerack.wire.RateNotice;
import org.bramblerack.wire.RateReport;
import org.bramblerack.wire.TeamAllowance;
import org.jspecify.annotations.Nullable;

/**
 * Keeps teams to their limits over all hosts: carries the messages between what this host spends and who keeps account,
 * itself or another host.
 *
 * <p>Without teams that have a limit, it sends nothing. Owned by the event loop.
 */
final class FleetLimits implements TeamRateLimits {
    private static final EventLog EVENTS = EventLog.of(FleetLimits.class);
    /** For how long an answer to a call is waited for: several ways there and back between far regions. */
    private static final Duration REPLY_WAIT = Duration.ofMillis(150);

    private static final Duration LOOK_EVERY = Duration.ofMillis(100);
    /** Teams are looked through one by one, so not often. */
    private static final Duration FORGET_EVERY = Duration.ofSeconds(5);
    /** Shorter suspensions are like a moment in which this host is behind. */
    private static final Duration LEAST_SUSPENSION = Duration.ofMillis(400);
    /** A team that comes near its limit and goes again gives two lines. */
    private static final int LINES_A_SECOND = 10;

    private final String self;
    private final FleetView view;
    private final BooleanSupplier tablesCurrent;
    private final PeerNetwork network;
    private final LimitMetrics metrics;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final EventLoop loop;
    private final QuotaClient spender;
    private final QuotaServer keeper;
    private final SuspendDetector suspendWatch;
    private final LogRateLimiter lines;
    private final Map<Long, Asker> askers = new HashMap<>();
    private final Map<Long, Reporter> reporters = new HashMap<>();
    private ImmutableList<String> hosts = ImmutableList.of();
    private long lastTicket;
    private long forgotNanos;
    private @Nullable ScheduledFuture<?> looking;

    /**
     * Creates limits that nothing was spent of.
     *
     * @param self the peer address of this host
     * @param tablesCurrent true while the control host that is followed is in touch with a leader
     */
    FleetLimits(
            String self,
            QuotaBound bound,
            FleetView view,
            BooleanSupplier tablesCurrent,
            PeerNetwork network,
            LimitMetrics metrics,
            MonotonicClock clock,
            InstantSource wallClock,
            EventLoop loop,
            RandomGenerator random) {
        this.self = self;
        this.view = view;
        this.tablesCurrent = tablesCurrent;
        this.network = network;
        this.metrics = metrics;
        this.clock = clock;
        this.wallClock = wallClock;
        this.loop = loop;
        long nowNanos = clock.nowNanos();
        this.forgotNanos = nowNanos;
        this.spender = new QuotaClient(self, bound, random, nowNanos);
        this.keeper = new QuotaServer(self, bound, nowNanos);
        this.suspendWatch = new SuspendDetector(LEAST_SUSPENSION, nowNanos, wallClock.millis());
        this.lines = new LogRateLimiter(clock, LINES_A_SECOND);
    }

    @Override
    public void start() {
        looking = loop.scheduleWithFixedDelay(
                this::look, LOOK_EVERY.toMillis(), LOOK_EVERY.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (looking != null) {
            looking.cancel(false);
        }
    }

    @Override
    public void requestPermission(CallerIdentity caller, Consumer<Decision> taker) {
        Optional<Team> team = caller.team();
        if (team.isEmpty() || team.get().limit().isUnlimited()) {
            taker.accept(Decision.UNLIMITED);
            return;
        }
        long nowNanos = refresh();
        long ticket = ++lastTicket;
        askers.put(ticket, new Asker(team.get().name(), taker));
        spender.request(ticket, team.get().name(), team.get().limit(), nowNanos);
        carryOut();
    }

    @Override
    public boolean handle(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasRateReport()) {
            loop.execute(() -> takeReport(
                    message.getSender(),
                    message.getRateReport(),
                    new Reporter(answer -> reply.accept(Envelope.newBuilder().setRateVerdict(answer.verdict())))));
        } else if (message.hasRateCall()) {
            loop.execute(() -> reply.accept(
                    Envelope.newBuilder().setRateCallResult(called(message.getSender(), message.getRateCall()))));
        } else if (message.hasRateNotice()) {
            loop.execute(() -> spender.handleNotice(message.getRateNotice()));
        } else {
            return false;
        }
        return true;
    }

    private void takeReport(String from, RateReport report, Reporter reporter) {
        long nowNanos = refresh();
        long token = ++lastTicket;
        reporters.put(token, reporter);
        metrics.reportTaken();
        keeper.handleReport(from, token, report, nowNanos);
        carryOut();
    }

    private RateCallResult called(String from, RateCall call) {
        long nowNanos = refresh();
        RateCallResult result = spender.handleCall(from, call, nowNanos);
        if (result.getFollows()) {
            keeper.handleSuperseded(call.getOwner(), from, nowNanos);
        }
        carryOut();
        return result;
    }

    private void look() {
        if (view.configuration().teams().isEmpty()) {
            return;
        }
        long nowNanos = refresh();
        keeper.wake(nowNanos);
        spender.wake(nowNanos);
        if (nowNanos - forgotNanos >= FORGET_EVERY.toNanos()) {
            forgotNanos = nowNanos;
            keeper.evictIdle(nowNanos);
            spender.evictIdle(nowNanos);
        }
        carryOut();
    }

    /** Takes over what has changed on this host and in the tables, and returns the present time. */
    private long refresh() {
        long nowNanos = clock.nowNanos();
        if (suspendWatch.wasSuspended(nowNanos, wallClock.millis())) {
            EVENTS.info("limits_suspended").with("host", self).write();
            keeper.handleSuspension(nowNanos);
            spender.handleSuspension(nowNanos);
        }
        boolean current = tablesCurrent.getAsBoolean();
        keeper.setControlReachable(current, nowNanos);
        spender.setControlReachable(current);
        keeper.setTeams(view.configuration().teams());
        return nowNanos;
    }

    /** Takes the entry hosts of the tables. */
    void hostsChanged() {
        ImmutableList<String> changed =
                view.entryHosts().stream().map(HostRecord::getPeerAddress).collect(ImmutableList.toImmutableList());
        if (!changed.equals(hosts)) {
            hosts = changed;
            long nowNanos = refresh();
            keeper.setHosts(hosts, nowNanos);
            spender.setHosts(hosts, nowNanos);
            carryOut();
        }
    }

    private void carryOut() {
        ImmutableList<QuotaAction> actions = spender.takeActions();
        while (!actions.isEmpty()) {
            actions.forEach(this::carryOut);
            actions = spender.takeActions();
        }
        keeper.takeActions().forEach(this::carryOut);
    }

    private void carryOut(QuotaAction action) {
        if (action instanceof QuotaAction.Permit permit) {
            permit(permit);
        } else if (action instanceof QuotaAction.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof QuotaAction.Report report) {
            report(report);
        } else if (action instanceof QuotaAction.Answer answer) {
            Optional.ofNullable(reporters.remove(answer.token())).ifPresent(reporter -> reporter.taker.accept(answer));
        } else if (action instanceof QuotaAction.Call call) {
            call(call);
        } else if (action instanceof QuotaAction.RecordTakeover tookOver) {
            tookOver(tookOver);
        } else if (action instanceof QuotaAction.Notify tell) {
            tell(tell.notice());
        } else if (action instanceof QuotaAction.Wake wake) {
            loop.schedule(this::look, Math.max(0, wake.atNanos() - clock.nowNanos()), TimeUnit.NANOSECONDS);
        }
    }

    private void permit(QuotaAction.Permit permit) {
        Asker asker = askers.remove(permit.ticket());
        if (asker != null) {
            metrics.permitted(permit.source(), asker.team);
            asker.taker.accept(new Decision.Permitted(() -> giveBack(asker.team)));
        }
    }

    private void giveBack(String team) {
        metrics.givenBack();
        spender.refund(team, refresh());
        carryOut();
    }

    private void refuse(QuotaAction.Refuse refuse) {
        Asker asker = askers.remove(refuse.ticket());
        if (asker != null) {
            metrics.refused(refuse.source(), asker.team);
            asker.taker.accept(new Decision.Refused(
                    Duration.ofMillis(refuse.retryAfterMillis()),
                    refuse.source().name()));
        }
    }

    private void report(QuotaAction.Report report) {
        long id = report.id();
        if (report.host().equals(self)) {
            loop.execute(() -> takeReport(self, report.report(), new Reporter(answer -> {
                spender.handleVerdict(id, answer.verdict(), refresh());
                carryOut();
            })));
            return;
        }
        metrics.reported();
        ScheduledFuture<?> giveUp = loop.schedule(
                () -> reportFailed(id, report.host(), "no answer in time"),
                report.answerTimeout().toNanos(),
                TimeUnit.NANOSECONDS);
        network.requestWhenConnected(
                        report.host(),
                        () -> Envelope.newBuilder().setRateReport(report.report()),
                        report.answerTimeout(),
                        progress -> {})
                .subscribe()
                .with(
                        reply -> loop.execute(() -> {
                            giveUp.cancel(false);
                            spender.handleVerdict(id, reply.getRateVerdict(), refresh());
                            carryOut();
                        }),
                        failure -> loop.execute(() -> {
                            giveUp.cancel(false);
                            reportFailed(id, report.host(), String.valueOf(failure.getMessage()));
                        }));
    }

    private void reportFailed(long id, String host, String reason) {
        if (spender.handleReportFailure(id, refresh())) {
            metrics.reportFailed();
            if (lines.tryAcquire()) {
                EVENTS.info("limit_keeper_away")
                        .with("keeper", host)
                        .with("reason", reason)
                        .write();
            }
        }
        carryOut();
    }

    private void call(QuotaAction.Call call) {
        if (call.host().equals(self)) {
            loop.execute(() -> takeResult(self, call.call(), called(self, call.call())));
            return;
        }
        metrics.called();
        network.requestWhenConnected(
                        call.host(), () -> Envelope.newBuilder().setRateCall(call.call()), REPLY_WAIT, progress -> {})
                .subscribe()
                .with(
                        reply -> loop.execute(() -> takeResult(call.host(), call.call(), reply.getRateCallResult())),
                        failure -> metrics.callFailed());
    }

    private void takeResult(String host, RateCall call, RateCallResult result) {
        keeper.handleCallResult(host, call.getOwner(), result, refresh());
        carryOut();
    }

    private void tookOver(QuotaAction.RecordTakeover tookOver) {
        metrics.tookOver();
        if (lines.tryAcquire()) {
            EVENTS.info("limit_accounts_taken_over")
                    .with("owner", tookOver.owner())
                    .with("keeper", self)
                    .with("revision", view.revision())
                    .write();
        }
    }

    private void tell(RateNotice notice) {
        spender.handleNotice(notice);
        for (TeamAllowance team : notice.getTeamsList()) {
            metrics.turned(team.getMustAsk());
            if (lines.tryAcquire()) {
                EVENTS.info(team.getMustAsk() ? "team_must_ask" : "team_is_free")
                        .with("team", team.getTeam())
                        .with("keeper", self)
                        .with("configuration", view.configuration().version())
                        .write();
            }
        }
        for (String host : hosts) {
            if (!host.equals(self)) {
                network.send(host, Envelope.newBuilder().setRateNotice(notice));
            }
        }
    }

    /** A request that waits for a decision. */
    private record Asker(String team, Consumer<Decision> taker) {}

    /** Who waits for the answer to a report. */
    private record Reporter(Consumer<QuotaAction.Answer> taker) {}
}
