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
 * Enforces the rate limits of teams over all hosts: runs this host's quota client and quota server and exchanges their
 * messages with other hosts.
 *
 * <p>Sends nothing while no team has a limit. Owned by the event loop.
 */
final class FleetLimits implements TeamRateLimits {
    private static final EventLog EVENTS = EventLog.of(FleetLimits.class);
    /** Allows several round trips between distant regions. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(150);

    private static final Duration WAKE_INTERVAL = Duration.ofMillis(100);
    /** Eviction iterates over all teams. */
    private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(5);
    /** Shorter pauses are handled as event-loop lag. */
    private static final Duration MIN_SUSPENSION = Duration.ofMillis(400);
    /** A team that repeatedly approaches its limit writes two lines each time. */
    private static final int MAX_LINES_PER_SECOND = 10;

    private final String self;
    private final FleetView view;
    private final BooleanSupplier tablesCurrent;
    private final PeerNetwork network;
    private final LimitMetrics metrics;
    private final MonotonicClock clock;
    private final InstantSource wallClock;
    private final EventLoop loop;
    private final QuotaClient client;
    private final QuotaServer server;
    private final SuspendDetector suspendDetector;
    private final LogRateLimiter lineLimiter;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<Long, PendingReport> pendingReports = new HashMap<>();
    private ImmutableList<String> hosts = ImmutableList.of();
    private long lastTicket;
    private long evictedNanos;
    private @Nullable ScheduledFuture<?> wakeTask;

    /**
     * Creates limits with nothing spent.
     *
     * @param self the peer address of this host
     * @param tablesCurrent true while the followed control host is connected to a leader
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
        this.evictedNanos = nowNanos;
        this.client = new QuotaClient(self, bound, random, nowNanos);
        this.server = new QuotaServer(self, bound, nowNanos);
        this.suspendDetector = new SuspendDetector(MIN_SUSPENSION, nowNanos, wallClock.millis());
        this.lineLimiter = new LogRateLimiter(clock, MAX_LINES_PER_SECOND);
    }

    @Override
    public void start() {
        wakeTask = loop.scheduleWithFixedDelay(
                this::wake, WAKE_INTERVAL.toMillis(), WAKE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (wakeTask != null) {
            wakeTask.cancel(false);
        }
    }

    @Override
    public void requestPermission(CallerIdentity caller, Consumer<Decision> callback) {
        Optional<Team> team = caller.team();
        if (team.isEmpty() || team.get().limit().isUnlimited()) {
            callback.accept(Decision.UNLIMITED);
            return;
        }
        long nowNanos = refresh();
        long ticket = ++lastTicket;
        pendingRequests.put(ticket, new PendingRequest(team.get().name(), callback));
        client.request(ticket, team.get().name(), team.get().limit(), nowNanos);
        performActions();
    }

    @Override
    public boolean handle(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasRateReport()) {
            loop.execute(() -> handleReport(
                    message.getSender(),
                    message.getRateReport(),
                    new PendingReport(
                            answer -> reply.accept(Envelope.newBuilder().setRateVerdict(answer.verdict())))));
        } else if (message.hasRateCall()) {
            loop.execute(() -> reply.accept(
                    Envelope.newBuilder().setRateCallResult(handleCall(message.getSender(), message.getRateCall()))));
        } else if (message.hasRateNotice()) {
            loop.execute(() -> client.handleNotice(message.getRateNotice()));
        } else {
            return false;
        }
        return true;
    }

    private void handleReport(String from, RateReport report, PendingReport pending) {
        long nowNanos = refresh();
        long token = ++lastTicket;
        pendingReports.put(token, pending);
        metrics.recordReportReceived();
        server.handleReport(from, token, report, nowNanos);
        performActions();
    }

    private RateCallResult handleCall(String from, RateCall call) {
        long nowNanos = refresh();
        RateCallResult result = client.handleCall(from, call, nowNanos);
        if (result.getFollows()) {
            server.handleSuperseded(call.getOwner(), from, nowNanos);
        }
        performActions();
        return result;
    }

    private void wake() {
        if (view.configuration().teams().isEmpty()) {
            return;
        }
        long nowNanos = refresh();
        server.wake(nowNanos);
        client.wake(nowNanos);
        if (nowNanos - evictedNanos >= EVICTION_INTERVAL.toNanos()) {
            evictedNanos = nowNanos;
            server.evictIdle(nowNanos);
            client.evictIdle(nowNanos);
        }
        performActions();
    }

    /** Updates client and server with this host's state and the tables, and returns the present time. */
    private long refresh() {
        long nowNanos = clock.nowNanos();
        if (suspendDetector.wasSuspended(nowNanos, wallClock.millis())) {
            EVENTS.info("limits_suspended").with("host", self).write();
            server.handleSuspension(nowNanos);
            client.handleSuspension(nowNanos);
        }
        boolean current = tablesCurrent.getAsBoolean();
        server.setControlReachable(current, nowNanos);
        client.setControlReachable(current);
        server.setTeams(view.configuration().teams());
        return nowNanos;
    }

    /** Applies a change of the entry hosts in the tables. */
    void onHostsChanged() {
        ImmutableList<String> newHosts =
                view.entryHosts().stream().map(HostRecord::getPeerAddress).collect(ImmutableList.toImmutableList());
        if (!newHosts.equals(hosts)) {
            hosts = newHosts;
            long nowNanos = refresh();
            server.setHosts(hosts, nowNanos);
            client.setHosts(hosts, nowNanos);
            performActions();
        }
    }

    private void performActions() {
        ImmutableList<QuotaAction> actions = client.takeActions();
        while (!actions.isEmpty()) {
            actions.forEach(this::performActions);
            actions = client.takeActions();
        }
        server.takeActions().forEach(this::performActions);
    }

    private void performActions(QuotaAction action) {
        if (action instanceof QuotaAction.Permit permit) {
            permit(permit);
        } else if (action instanceof QuotaAction.Refuse refuse) {
            refuse(refuse);
        } else if (action instanceof QuotaAction.Report report) {
            report(report);
        } else if (action instanceof QuotaAction.Answer answer) {
            Optional.ofNullable(pendingReports.remove(answer.token()))
                    .ifPresent(pending -> pending.callback.accept(answer));
        } else if (action instanceof QuotaAction.Call call) {
            call(call);
        } else if (action instanceof QuotaAction.RecordTakeover takeover) {
            recordTakeover(takeover);
        } else if (action instanceof QuotaAction.Notify notification) {
            notifyHosts(notification.notice());
        } else if (action instanceof QuotaAction.Wake wake) {
            loop.schedule(this::wake, Math.max(0, wake.atNanos() - clock.nowNanos()), TimeUnit.NANOSECONDS);
        }
    }

    private void permit(QuotaAction.Permit permit) {
        PendingRequest request = pendingRequests.remove(permit.ticket());
        if (request != null) {
            metrics.recordPermitted(permit.source(), request.team);
            request.callback.accept(new Decision.Permitted(() -> refund(request.team)));
        }
    }

    private void refund(String team) {
        metrics.recordRefund();
        client.refund(team, refresh());
        performActions();
    }

    private void refuse(QuotaAction.Refuse refuse) {
        PendingRequest request = pendingRequests.remove(refuse.ticket());
        if (request != null) {
            metrics.recordRefused(refuse.source(), request.team);
            request.callback.accept(new Decision.Refused(
                    Duration.ofMillis(refuse.retryAfterMillis()),
                    refuse.source().name()));
        }
    }

    private void report(QuotaAction.Report report) {
        long id = report.id();
        if (report.host().equals(self)) {
            loop.execute(() -> handleReport(self, report.report(), new PendingReport(answer -> {
                client.handleVerdict(id, answer.verdict(), refresh());
                performActions();
            })));
            return;
        }
        metrics.recordReport();
        ScheduledFuture<?> timeout = loop.schedule(
                () -> reportFailed(id, report.host(), "no answer within the timeout"),
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
                            timeout.cancel(false);
                            client.handleVerdict(id, reply.getRateVerdict(), refresh());
                            performActions();
                        }),
                        failure -> loop.execute(() -> {
                            timeout.cancel(false);
                            reportFailed(id, report.host(), String.valueOf(failure.getMessage()));
                        }));
    }

    private void reportFailed(long id, String host, String reason) {
        if (client.handleReportFailure(id, refresh())) {
            metrics.recordReportFailure();
            if (lineLimiter.tryAcquire()) {
                EVENTS.info("limit_keeper_away")
                        .with("keeper", host)
                        .with("reason", reason)
                        .write();
            }
        }
        performActions();
    }

    private void call(QuotaAction.Call call) {
        if (call.host().equals(self)) {
            loop.execute(() -> handleCallResult(self, call.call(), handleCall(self, call.call())));
            return;
        }
        metrics.recordCall();
        network.requestWhenConnected(
                        call.host(), () -> Envelope.newBuilder().setRateCall(call.call()), CALL_TIMEOUT, progress -> {})
                .subscribe()
                .with(
                        reply -> loop.execute(
                                () -> handleCallResult(call.host(), call.call(), reply.getRateCallResult())),
                        failure -> metrics.recordCallFailure());
    }

    private void handleCallResult(String host, RateCall call, RateCallResult result) {
        server.handleCallResult(host, call.getOwner(), result, refresh());
        performActions();
    }

    private void recordTakeover(QuotaAction.RecordTakeover takeover) {
        metrics.recordTakeover();
        if (lineLimiter.tryAcquire()) {
            EVENTS.info("limit_accounts_taken_over")
                    .with("owner", takeover.owner())
                    .with("keeper", self)
                    .with("revision", view.revision())
                    .write();
        }
    }

    private void notifyHosts(RateNotice notice) {
        client.handleNotice(notice);
        for (TeamAllowance team : notice.getTeamsList()) {
            metrics.recordModeChange(team.getMustAsk());
            if (lineLimiter.tryAcquire()) {
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

    /** A request that waits for its decision. */
    private record PendingRequest(String team, Consumer<Decision> callback) {}

    /** A report whose sender waits for the answer. */
    private record PendingReport(Consumer<QuotaAction.Answer> callback) {}
}
