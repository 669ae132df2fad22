package org.bramblerack.daemon.gateway;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpHandler;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.daemon.peer.PeerHandler;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.process.StopWindow;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.request.routed.CallerCheck;
import org.bramblerack.request.routed.CallerElapsedTime;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.request.routed.FinalizeLead;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.Teams;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HarmReportResult;
import org.bramblerack.wire.StageCall;

/**
 * Routes the requests of callers by the configuration in force and runs them.
 *
 * <p>A request is bound to the configuration that was in force when it arrived. Owned by the event loop.
 */
public final class Gateway implements HttpHandler, PeerHandler {
    private static final EventLog EVENTS = EventLog.of(Gateway.class);
    private static final Duration COUNTERS_LOG_INTERVAL = Duration.ofSeconds(10);
    private static final long SECOND_PROBE_DELAY_MILLIS = 30;
    private static final String STOPPING = "STOPPING";
    private static final int NOT_FOUND = 404;
    private static final int TOO_LARGE = 413;
    /** A deferred query starts at the latest this many goals before its deadline, the time that most queries need. */
    private static final int DEFERRED_START_GOALS = 2;

    private final FleetView view;
    private final BooleanSupplier tablesKnown;
    private final TableStatus tables;
    private final TeamRateLimits limits;
    private final CallHeaders names;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final DecisionLog log;
    private final FinalizeLead finalizeLead;
    private final QueryRuns runs;
    private final DeferredQueries deferredQueries;
    private final CallerElapsedTime callerElapsedTime = new CallerElapsedTime();
    private final StageLinks stages;
    private final StageServer stageServer;
    private final LagTimer lagTimer;
    private final HarmTrials trials;
    private final RequestCapacity capacity;
    private final Map<String, SplitCursor> splitCursors = new HashMap<>();
    private final CallerDeadlines deadlines;
    private final StopAdmission stopAdmission;
    private boolean ending;

    /**
     * Creates a gateway, which serves requests at once.
     *
     * @param controlHost returns the control host that this host currently follows
     * @param tablesKnown returns true once the tables come from a control host that has a leader
     * @param tables confirms whether the configuration in force on this host is the newest
     * @param limits enforces the rate limits of teams
     */
    public Gateway(
            FleetView view,
            BooleanSupplier tablesKnown,
            TableStatus tables,
            TeamRateLimits limits,
            Supplier<String> controlHost,
            PeerNetwork network,
            CallHeaders names,
            GatewayMetrics metrics,
            MonotonicClock clock,
            EventLoop loop,
            RandomGenerator random) {
        this.view = view;
        this.tablesKnown = tablesKnown;
        this.tables = tables;
        this.limits = limits;
        this.names = names;
        this.metrics = metrics;
        this.clock = clock;
        this.loop = loop;
        this.random = random;
        this.finalizeLead = new FinalizeLead(clock.nowNanos());
        this.stages = new StageLinks(view, network, clock, loop, random);
        view.onHostsChanged(stages::onHostsChanged);
        view.onConnectionEvent(metrics::count);
        this.log = new DecisionLog(clock, view);
        this.runs = new QueryRuns(view, stages, names, metrics, clock, loop, random, log);
        this.deferredQueries = new DeferredQueries(view, clock, loop);
        this.trials = new HarmTrials(view, runs, network, controlHost, loop, clock, random);
        this.lagTimer = new LagTimer(view.routing().eventLoopLag(), finalizeLead, loop, clock);
        this.capacity = new RequestCapacity(view, metrics, clock, loop, random);
        this.stopAdmission = new StopAdmission(
                route -> view.configuration().routeNamed(route).isPresent(), clock);
        this.deadlines = new CallerDeadlines(view, names, metrics, finalizeLead);
        this.stageServer = new StageServer(view, runs, names, finalizeLead, stopAdmission, clock, loop);
    }

    /** Starts probing the links to other hosts and logging the counters. */
    public void start() {
        stages.start();
        lagTimer.start();
        loop.scheduleWithFixedDelay(
                () -> EVENTS.info("counters")
                        .with("counters", metrics.summary())
                        .write(),
                COUNTERS_LOG_INTERVAL.toMillis(),
                COUNTERS_LOG_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Probes the links to other hosts now and once more shortly after. Called on the event loop. */
    void probeNow() {
        stages.probe();
        loop.schedule(stages::probe, SECOND_PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Begins a stop: from now on, only requests and calls of other hosts that fit into the window are accepted. */
    public void beginStop(StopWindow window) {
        stopAdmission.beginStop(window);
    }

    /** Refuses new queries of other hosts; requests of callers are still served. */
    public void refuseQueriesOfHosts() {
        loop.execute(stageServer::refuseQueries);
    }

    /**
     * Refuses everything that arrives from now on, and replies to the calls of other hosts that are in flight. Requests
     * of callers that are in flight are ended by their {@link HttpExchange#onStopLimit} tasks.
     */
    public void endRequests() {
        loop.execute(() -> {
            ending = true;
            stageServer.endCalls();
        });
    }

    /** Returns the number of calls of other hosts in flight; may be called from any thread. */
    int callsOfOtherHosts() {
        return stageServer.inFlight();
    }

    /** Stops probing. */
    public void stop() {
        loop.execute(stages::stop);
    }

    /** Returns true if the tables are known and complete, so that requests can be served. */
    public boolean isReady() {
        return tablesKnown.getAsBoolean() && view.isComplete();
    }

    @Override
    public void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        // Other kinds of messages are sent by newer versions of the program and get no reply.
        if (limits.handle(message, reply)) {
            return;
        }
        if (message.hasStageCall()) {
            lagTimer.onWork();
            stageServer.handle(message.getSender(), message.getStageCall(), reply);
        } else if (message.hasStageGrant()) {
            stageServer.onGrant(message.getSender(), message.getStageGrant());
        } else if (message.hasStageCancel()) {
            stageServer.cancel(message.getSender(), message.getStageCancel());
        } else if (message.hasHarmReport()) {
            loop.execute(() -> view.harmFilter().adoptReport(message.getHarmReport(), clock.nowNanos()));
            reply.accept(Envelope.newBuilder()
                    .setHarmReportResult(HarmReportResult.newBuilder().setTaken(true)));
        }
    }

    @Override
    public void handle(HttpExchange exchange) {
        lagTimer.onWork();
        CallerAnswers answers = new CallerAnswers(exchange, names, metrics, random);
        if (ending) {
            refuseStopping(exchange, answers);
            return;
        }
        exchange.onStopLimit(() -> refuseStopping(exchange, answers));
        if (!tablesKnown.getAsBoolean() || view.configuration().version() == 0) {
            answers.refuseNotReady();
            refusedUnrouted(exchange, "NOT_READY");
            return;
        }
        // Limits of a connection are fixed when it opens; the limit of the body is read for each request.
        if (exchange.body().length > view.configuration().limits().maxBodyBytes()) {
            exchange.respond(TOO_LARGE, "text/plain", "the body is longer than the configuration allows\n");
            refusedUnrouted(exchange, "BODY_TOO_LONG");
            return;
        }
        identify(exchange, answers, VersionCheck.NOT_CHECKED);
    }

    /** Finds the route and identifies the caller of a request, by the configuration in force. */
    private void identify(HttpExchange exchange, CallerAnswers answers, VersionCheck versionCheck) {
        Optional<Route> route = view.configuration().find(exchange.headers().get("Host", ""), exchange.path());
        if (route.isEmpty()) {
            exchange.respond(NOT_FOUND, "text/plain", "no route takes this host and path\n");
            refusedUnrouted(exchange, "NO_ROUTE");
            return;
        }
        Teams teams = view.configuration().teams();
        List<String> credentials = exchange.headers().getAll(HttpHeaderNames.AUTHORIZATION);
        CallerCheck.Result check = CallerCheck.check(teams, route.get(), credentials);
        if (check instanceof CallerCheck.Result.Known known) {
            if (!teams.isEmpty() && credentials.stream().anyMatch(CallerCheck::mayContainKey)) {
                // The key must not reach a leaf or another host.
                exchange.headers().remove(HttpHeaderNames.AUTHORIZATION);
            }
            requestPermit(exchange, route.get(), known.caller(), answers);
        } else if (check instanceof CallerCheck.Result.Unknown unknown) {
            handleUnknownCaller(exchange, answers, unknown.presented(), versionCheck);
        }
    }

    /** Refuses an unknown caller, after confirming that no newer version of the configuration knows its key. */
    private void handleUnknownCaller(
            HttpExchange exchange,
            CallerAnswers answers,
            CallerCheck.PresentedCredentials presented,
            VersionCheck check) {
        if (check == VersionCheck.NOT_CHECKED) {
            tables.confirmNewest(confirmed -> {
                if (!exchange.isOver()) {
                    identify(exchange, answers, confirmed ? VersionCheck.CONFIRMED : VersionCheck.UNCERTAIN);
                }
            });
            return;
        }
        RefusalReason reason =
                check == VersionCheck.CONFIRMED ? RefusalReason.UNKNOWN_KEY : RefusalReason.KEY_UNDECIDED;
        answers.refuse(reason);
        logUnrouted(exchange, reason.name(), line -> line.with("shown", presented.name()));
    }

    /** Whether the configuration in force on this host was confirmed as the newest. */
    private enum VersionCheck {
        NOT_CHECKED,
        CONFIRMED,
        UNCERTAIN
    }

    /** Requests a permit from the rate limit of the team. */
    private void requestPermit(HttpExchange exchange, Route route, CallerIdentity caller, CallerAnswers answers) {
        if (caller.homes(route).allowsNone()) {
            answers.refuse(RefusalReason.NO_LEAF_AT_HOME);
            logUnrouted(exchange, RefusalReason.NO_LEAF_AT_HOME.name(), line -> {});
            return;
        }
        LeafRequest single = LeafRequest.create(
                exchange.method(),
                exchange.uri(),
                exchange.headers(),
                exchange.body(),
                caller.homes(route),
                caller.teamName(),
                names);
        LeafRequest request = route.target() instanceof RouteTarget.Scatter ? single.forQuery() : single;
        RequestTimes times = deadlines.times(exchange, route);
        if (times.deadlineNanos() - clock.nowNanos() <= 0) {
            answers.refuse(RefusalReason.EXPIRED);
            logUnrouted(exchange, RefusalReason.EXPIRED.name(), line -> {});
            return;
        }
        if (!mayAccept(route, times)) {
            refuseTooLong(exchange, answers, route);
            return;
        }
        RoutedCall call =
                new RoutedCall(route, caller, view.configuration().version(), request, exchange.receivedNanos(), times);
        limits.spend(route.isPublic() ? CallerIdentity.ANONYMOUS : caller, spending -> {
            if (spending instanceof TeamRateLimits.Decision.Permitted permitted) {
                onPermitted(exchange, call, answers, permitted.refund());
            } else if (spending instanceof TeamRateLimits.Decision.Refused refused && !exchange.isOver()) {
                answers.refuse(RefusalReason.OVER_LIMIT, refused.retryAfter());
                log.logDegraded(
                        call,
                        RefusalReason.OVER_LIMIT.name(),
                        line -> line.with("team", caller.teamName())
                                .with("decidedBy", refused.decidedBy())
                                .with("retryAfterMillis", refused.retryAfter().toMillis()));
            }
        });
    }

    /** Starts a permitted request, or refunds the permit if the request is over. */
    private void onPermitted(HttpExchange exchange, RoutedCall call, CallerAnswers answers, Runnable refund) {
        if (exchange.isOver()) {
            refund.run();
            return;
        }
        answers.onNotRun(refund);
        answers.onRun(() -> stopAdmission.recordDuration(call.route().name(), clock.nowNanos() - call.arrivedNanos()));
        begin(exchange, call, answers);
    }

    private void begin(HttpExchange exchange, RoutedCall call, CallerAnswers answers) {
        switch (view.harmFilter().permission(call.request()::fingerprints)) {
            case FREE -> admit(exchange, call, answers);
            case ON_TRIAL -> runTrial(exchange, call, answers);
            default -> refuse(call, answers, RefusalReason.HARMFUL);
        }
    }

    private void runTrial(HttpExchange exchange, RoutedCall call, CallerAnswers caller) {
        exchange.onStopLimit(() -> refuse(call, caller, RefusalReason.TIME_UP));
        trials.start(call, () -> stageCall(exchange, call), result -> {
            if (exchange.isOver()) {
                trials.release(call, false);
                return;
            }
            switch (result) {
                case SERVE -> {
                    caller.onNotRun(() -> trials.release(call, false));
                    caller.onDisconnected(() -> trials.release(call, true));
                    caller.onSurvival(() -> trials.release(call, false));
                    admit(exchange, call, caller);
                }
                case NOT_RUN -> refuse(call, caller, RefusalReason.ON_TRIAL);
                case QUARANTINED -> refuse(call, caller, RefusalReason.HARMFUL);
                default -> refuse(call, caller, RefusalReason.OUTCOME_UNKNOWN);
            }
        });
    }

    private void refuse(RoutedCall call, CallerAnswers caller, RefusalReason reason) {
        caller.refuse(reason);
        log.logDegraded(call, reason.name(), line -> {});
    }

    /** Serves a request as soon as this host has capacity for it. */
    private void admit(HttpExchange exchange, RoutedCall call, CallerAnswers caller) {
        int calls = call.route().target() instanceof RouteTarget.Scatter target
                ? target.shards().size()
                : 1;
        Runnable start = () -> {
            if (mayAccept(call.route(), call.times())) {
                serve(exchange, call, caller);
            } else {
                refuseTooLong(exchange, caller, call.route());
            }
        };
        Optional<Runnable> withdraw = capacity.admit(call, calls, start, retryAfter -> {
            log.logDegraded(call, RefusalReason.NO_ROOM.name(), line -> line.with("room", capacity.describe()));
            caller.refuse(RefusalReason.NO_ROOM, retryAfter);
        });
        withdraw.ifPresent(task -> {
            exchange.onCallerGone(task);
            exchange.onStopLimit(() -> {
                task.run();
                refuseStopping(exchange, caller);
            });
        });
    }

    private void serve(HttpExchange exchange, RoutedCall call, CallerAnswers caller) {
        Route route = call.route();
        if (route.target() instanceof RouteTarget.Scatter target) {
            view.recordQuery();
            StageCaller stageCaller =
                    runs.stageCaller(queryCall(exchange, call, target), target.shards(), call.times(), call.request());
            ScatterRun run = runs.scatter(call, target, stageCaller, caller);
            run.onFinalizedAtGoal(
                    writtenNanos -> finalizeLead.recordFinalized(call.times().goalNanos(), writtenNanos));
            run.onNoShardAnswered(
                    () -> view.harmFilter().recordNoShardAnswered(call.request().arrival(), clock.nowNanos()));
            begin(exchange, call, target, run);
        } else {
            ForwardRun run = runs.forward(call, chooseService(route), () -> stageCall(exchange, call), caller);
            exchange.onCallerGone(run::callerGone);
            exchange.onStopLimit(run::endNow);
            run.start();
        }
    }

    /** Starts a query, or defers it if its answer will miss the goal anyway and other queries need the leaves. */
    private void begin(HttpExchange exchange, RoutedCall call, RouteTarget.Scatter target, ScatterRun run) {
        long arrivedNanos = call.arrivedNanos();
        long usedNanos = callerElapsedTime.elapsedNanos(
                call.route().name(),
                call.times().leafDeadlineNanos() - arrivedNanos,
                call.route().timeout().toNanos(),
                arrivedNanos);
        long goalNanos = call.route().goal().toNanos();
        boolean late = goalNanos > 0 && usedNanos > goalNanos && view.routing().uses(RoutingFeature.LATE_STARTS);
        if (!late) {
            exchange.onCallerGone(run::callerGone);
            exchange.onStopLimit(run::endNow);
            run.start();
            return;
        }
        long startByNanos = Math.max(arrivedNanos, call.times().deadlineNanos() - DEFERRED_START_GOALS * goalNanos);
        metrics.recordDeferredQuery();
        DeferredQueries.Handle deferred = deferredQueries.defer(run, target, startByNanos);
        exchange.onCallerGone(deferred::callerGone);
        exchange.onStopLimit(deferred::endNow);
    }

    private boolean mayAccept(Route route, RequestTimes times) {
        return runs.mayAccept(stopAdmission, route, times.deadlineNanos());
    }

    private void refuseTooLong(HttpExchange exchange, CallerAnswers answers, Route route) {
        answers.refuseStopping();
        metrics.recordUnroutedRefusal(STOPPING);
        logUnrouted(
                exchange,
                STOPPING,
                line -> line.with("route", route.name())
                        .with("time", stopAdmission.describe(route.name(), route.goal())));
    }

    private void refuseStopping(HttpExchange exchange, CallerAnswers answers) {
        answers.refuseStopping();
        refusedUnrouted(exchange, STOPPING);
    }

    private void refusedUnrouted(HttpExchange exchange, String outcome) {
        metrics.recordUnroutedRefusal(outcome);
        logUnrouted(exchange, outcome, line -> {});
    }

    private void logUnrouted(HttpExchange exchange, String outcome, Consumer<EventLog.Line> details) {
        log.logUnrouted(
                exchange.headers().get(names.requestId(), ""),
                exchange.headers().get("Host", ""),
                exchange.path(),
                outcome,
                details);
    }

    /** Returns the template of the calls to other hosts for a query. */
    private StageCall queryCall(HttpExchange exchange, RoutedCall routed, RouteTarget.Scatter target) {
        return stageCall(exchange, routed).toBuilder()
                .setTopRecords(target.topRecords())
                .setMaxAttempts(1)
                .setFurtherAttempts(routed.route().maxAttempts() - 1)
                .build();
    }

    /** Returns the template of the calls to other hosts for a request. */
    private StageCall stageCall(HttpExchange exchange, RoutedCall routed) {
        Route route = routed.route();
        StageCall.Builder call = StageCall.newBuilder()
                .setConfigurationVersion(routed.configurationVersion())
                .setRoute(route.name())
                .setHedgeDelayMicros(TimeUnit.NANOSECONDS.toMicros(runs.hedgeDelayNanos(route)))
                .setMethod(exchange.method())
                .setUri(exchange.uri())
                .setBody(ByteString.copyFrom(exchange.body()))
                .addAllHomeRegions(routed.homes().regions())
                .setTeam(routed.caller().teamName())
                .setPriority(routed.priority());
        exchange.headers().forEach(header -> {
            if (LeafRequest.isForwardedToHosts(header.getKey(), names)) {
                call.addHeaderNames(header.getKey()).addHeaderValues(header.getValue());
            }
        });
        return call.build();
    }

    private String chooseService(Route route) {
        if (route.target() instanceof RouteTarget.Split split) {
            SplitCursor cursor = splitCursors.get(route.name());
            if (cursor == null || !cursor.matches(split)) {
                cursor = SplitCursor.startingAtRandom(split, random);
                splitCursors.put(route.name(), cursor);
            }
            return cursor.nextService();
        }
        return route.target().services().get(0);
    }
}
