package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.process.harm.Permission;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.request.routed.FinalizeLead;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.request.routed.StageTiming;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.version.routing.Team;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageCancel;
import org.bramblerack.wire.StageGrant;
import org.bramblerack.wire.StageProgress;
import org.bramblerack.wire.StageResult;

/**
 * Runs scattered queries and single leaf calls on behalf of other hosts.
 *
 * <p>The calling host names the shards of a query, independent of the version of the configuration in force on this
 * host: versions differ between hosts while a new one spreads or a host is cut off from control. Owned by the event
 * loop.
 */
final class StageServer {
    private static final String STOPPING = "this host is stopping";

    private final FleetView view;
    private final QueryRuns runs;
    private final CallHeaders names;
    private final FinalizeLead finalizeLead;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final HeldLeafCalls leafCalls;
    private final StageCalls calls = new StageCalls();
    private final StopAdmission stopAdmission;
    private boolean refusingQueries;
    private boolean ending;

    StageServer(
            FleetView view,
            QueryRuns runs,
            CallHeaders names,
            FinalizeLead sealLead,
            StopAdmission stopAdmission,
            MonotonicClock clock,
            EventLoop loop) {
        this.view = view;
        this.runs = runs;
        this.names = names;
        this.finalizeLead = sealLead;
        this.stopAdmission = stopAdmission;
        this.clock = clock;
        this.loop = loop;
        this.leafCalls = new HeldLeafCalls(view, clock);
    }

    /** Refuses new queries; queries in flight are finished. */
    void refuseQueries() {
        refusingQueries = true;
    }

    /** Replies to the calls in flight with what is known of them, and refuses all that arrive from now on. */
    void endCalls() {
        ending = true;
        calls.endAll();
    }

    /** Returns the number of calls in flight; may be called from any thread. */
    int inFlight() {
        return calls.count();
    }

    /** Handles the reply to a request for attempts. */
    void onGrant(String sender, StageGrant grant) {
        calls.onAttemptsAnswered(sender, grant);
    }

    /** Cancels a call of another host whose result is no longer needed. */
    void cancel(String sender, StageCancel cancel) {
        if (cancel.getUnlessSent()) {
            calls.cancelUnlessSent(sender, cancel.getCall());
        } else {
            calls.cancel(sender, cancel.getCall());
        }
    }

    /**
     * Runs a query, or calls the one leaf that is named, and replies.
     *
     * <p>A call starts after all messages that have arrived were read, since on a lagging host its cancellation may be
     * among them.
     */
    void handle(String sender, StageCall call, Consumer<Envelope.Builder> sendReply) {
        Consumer<Envelope.Builder> reply = message -> sendReply.accept(withLag(message));
        HomeRegions homes = homes(call);
        LeafRequest single = LeafRequest.create(
                call.getMethod(),
                call.getUri(),
                headers(call),
                call.getBody().toByteArray(),
                homes,
                call.getTeam(),
                names);
        LeafRequest request = call.getWholeAnswer() ? single : single.forQuery();
        // Time limits count from the arrival of the call, so that no leaf gets more time than the caller has left.
        long arrivedNanos = view.routing().eventLoopLag().arrivalNanos(clock.nowNanos());
        Consumer<Envelope.Builder> lastReply = message -> {
            calls.end(sender, call.getCall());
            if (message.getStageResult().getStatus() != StageResult.Status.NOT_RUN) {
                stopAdmission.recordDuration(call.getRoute(), clock.nowNanos() - arrivedNanos);
            }
            reply.accept(message);
        };
        QueuedCall queued = new QueuedCall();
        calls.begin(sender, call.getCall(), queued);
        loop.execute(() -> {
            if (queued.cancelled) {
                return;
            }
            calls.end(sender, call.getCall());
            if (call.getLeaf().isEmpty()) {
                runQuery(sender, call, homes, arrivedNanos, request, reply, lastReply);
            } else {
                callLeaf(sender, call, arrivedNanos, request, lastReply);
            }
        });
    }

    private void callLeaf(
            String sender,
            StageCall call,
            long arrivedNanos,
            LeafRequest request,
            Consumer<Envelope.Builder> lastReply) {
        if (isTooLateToFinish(call, arrivedNanos)) {
            lastReply.accept(notRun(STOPPING));
            return;
        }
        leafCalls
                .call(call, arrivedNanos, request, lastReply)
                .ifPresent(underWay -> calls.begin(sender, call.getCall(), underWay));
    }

    private static Envelope.Builder notRun(String reason) {
        return Envelope.newBuilder()
                .setStageResult(StageResult.newBuilder()
                        .setStatus(StageResult.Status.NOT_RUN)
                        .setReason(reason));
    }

    /** Returns true if this host is stopping and would end before the call. */
    private boolean isTooLateToFinish(StageCall call, long arrivedNanos) {
        long deadlineNanos = arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros());
        Optional<Route> known = view.configuration().routeNamed(call.getRoute());
        boolean mayAccept = known.isPresent()
                ? runs.mayAccept(stopAdmission, known.get(), deadlineNanos)
                : stopAdmission.mayAccept(call.getRoute(), Duration.ZERO, deadlineNanos);
        return ending || !mayAccept;
    }

    /** Adds the event-loop lag of this host, by which other hosts avoid lagging hosts. */
    private Envelope.Builder withLag(Envelope.Builder message) {
        long lagMicros =
                TimeUnit.NANOSECONDS.toMicros(view.routing().eventLoopLag().averageLagNanos());
        if (message.hasStageResult()) {
            message.getStageResultBuilder().setLagMicros(lagMicros);
        } else if (message.hasStageProgress()) {
            message.getStageProgressBuilder().setLagMicros(lagMicros);
        }
        return message;
    }

    /** Runs a query and replies; reports progress before the reply if shards are hedged. */
    private void runQuery(
            String sender,
            StageCall call,
            HomeRegions homes,
            long arrivedNanos,
            LeafRequest request,
            Consumer<Envelope.Builder> reply,
            Consumer<Envelope.Builder> lastReply) {
        Optional<String> refusal = refusalReason(call, homes, request, arrivedNanos);
        if (refusal.isPresent()) {
            reply.accept(notRun(refusal.get()));
            return;
        }
        RequestTimes times = new RequestTimes(
                arrivedNanos + goalNanos(call),
                arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()),
                arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()));
        int maxAttempts = maxAttempts(call, arrivedNanos);
        // Any partial result is returned, since only the calling host knows the other shards.
        RouteTarget.Scatter target =
                new RouteTarget.Scatter(ImmutableList.copyOf(call.getServicesList()), call.getTopRecords(), 0);
        ScatterRun run = runs.scatterForHost(
                new RoutedCall(
                        // The route includes the home regions and the priority of the team.
                        route(call, target, homes),
                        CallerIdentity.ANONYMOUS,
                        call.getConfigurationVersion(),
                        request,
                        arrivedNanos,
                        times),
                target,
                TimeUnit.MICROSECONDS.toNanos(call.getHedgeDelayMicros()),
                maxAttempts,
                call.getFurtherAttempts(),
                !call.getPassedOn(),
                runs.stageCaller(forwardedCall(call, homes, maxAttempts), target.shards(), times, request),
                new ReplySink(reply, lastReply, call.getShardsList(), sender));
        run.onProgress(() -> reply.accept(Envelope.newBuilder()
                .setStageProgress(StageProgress.newBuilder()
                        .addAllAskedTwice(toQueryShards(run.hedgedShards(), call.getShardsList())))));
        run.onAttemptsWanted(shards -> reply.accept(Envelope.newBuilder()
                .setStageProgress(
                        StageProgress.newBuilder().addAllWantedAttempts(toQueryShards(shards, call.getShardsList())))));
        run.start();
        if (!run.isOver()) {
            calls.begin(sender, call.getCall(), new StageCalls.Call() {
                @Override
                public void onAttemptsAnswered(StageGrant grant) {
                    run.onAttemptsAnswered(
                            toStageShards(grant.getGrantedList(), call.getShardsList()),
                            toStageShards(grant.getDeniedList(), call.getShardsList()));
                }

                @Override
                public void cancel() {
                    run.callerGone();
                }

                @Override
                public void endNow() {
                    run.endNow();
                }
            });
        }
    }

    /**
     * Returns why a call is not run, or empty if it is. A call that waited here for longer than the calling host waits
     * for progress is refused, since the calling host has called other leaves by then.
     */
    private Optional<String> refusalReason(StageCall call, HomeRegions homes, LeafRequest request, long arrivedNanos) {
        if (refusingQueries || isTooLateToFinish(call, arrivedNanos)) {
            return Optional.of(STOPPING);
        }
        if (!namesShards(call)) {
            return Optional.of("the call names no shards");
        }
        if (view.harmFilter().permission(request::fingerprints) == Permission.QUARANTINED) {
            return Optional.of(RefusalReason.HARMFUL.name());
        }
        if (homes.allowsNone()) {
            return Optional.of("no region may serve the route by all that hosts know of it");
        }
        long waitedNanos = clock.nowNanos() - arrivedNanos;
        boolean tooLate = waitedNanos >= TimeUnit.MICROSECONDS.toNanos(call.getHedgeDelayMicros());
        return tooLate ? Optional.of("this host is behind") : Optional.empty();
    }

    /**
     * Returns the regions that may serve a call: those that both the calling host and this host allow for its route and
     * its team, since the two may use different versions of the configuration.
     */
    private HomeRegions homes(StageCall call) {
        RoutingConfiguration known = view.configuration();
        HomeRegions ofRoute =
                known.routeNamed(call.getRoute()).map(Route::homes).orElse(HomeRegions.ANY);
        HomeRegions ofTeam =
                known.teams().named(call.getTeam()).map(Team::homes).orElse(HomeRegions.ANY);
        return HomeRegions.of(call.getHomeRegionsList()).intersect(ofRoute).intersect(ofTeam);
    }

    /**
     * Returns how many attempts at each shard belong to this host. A calling host of an older version hands over all of
     * them, and may make one itself if the call waited longer than the slack of the silence timeout.
     */
    private int maxAttempts(StageCall call, long arrivedNanos) {
        boolean waited = clock.nowNanos() - arrivedNanos > StageTiming.SILENCE_SLACK_NANOS;
        return waited ? Math.max(1, call.getMaxAttempts() - 1) : call.getMaxAttempts();
    }

    /**
     * Returns the template of the calls that forward a call to other hosts; shards and time limits are added for each.
     */
    private static StageCall forwardedCall(StageCall call, HomeRegions homes, int maxAttempts) {
        return call.toBuilder()
                .clearShards()
                .clearServices()
                .setMaxAttempts(1)
                .setFurtherAttempts(Math.max(0, call.getFurtherAttempts()) + maxAttempts - 1)
                .clearHomeRegions()
                .addAllHomeRegions(homes.regions())
                .setPassedOn(true)
                .build();
    }

    private static boolean namesShards(StageCall call) {
        List<String> services = call.getServicesList();
        return !services.isEmpty()
                && services.size() == call.getShardsCount()
                && new HashSet<>(services).size() == services.size()
                && call.getTopRecords() >= 0
                && call.getMaxAttempts() >= 1;
    }

    /**
     * Returns the route of a call by the configuration of this host, or as the call describes it if the route is
     * unknown here or differs.
     *
     * <p>The latencies of calls are recorded under the name of the route.
     */
    private Route route(StageCall call, RouteTarget.Scatter target, HomeRegions homes) {
        return view.configuration()
                .routeNamed(call.getRoute())
                .filter(known -> known.homes().equals(homes) && known.priority() == call.getPriority())
                .orElseGet(() -> new Route(
                        call.getRoute(),
                        "",
                        "/",
                        RequestKind.IDEMPOTENT,
                        Duration.ofNanos(Math.max(1, TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()))),
                        Duration.ofNanos(Math.max(0, TimeUnit.MICROSECONDS.toNanos(call.getGoalMicros()))),
                        Math.max(0, call.getPriority()),
                        call.getMaxAttempts(),
                        target,
                        homes));
    }

    /** Returns how long after its arrival the answer to a call is due; earlier if this host lags. */
    private long goalNanos(StageCall call) {
        Duration goal = Duration.ofNanos(Math.max(0, TimeUnit.MICROSECONDS.toNanos(call.getGoalMicros())));
        return StageTiming.localGoalNanos(goal.toNanos(), finalizeLead.overrunNanos(goal));
    }

    /** Translates shard numbers within a stage to those of the whole query. */
    private static ImmutableList<Integer> toQueryShards(List<Integer> numbers, List<Integer> shards) {
        return numbers.stream().map(shards::get).collect(ImmutableList.toImmutableList());
    }

    /** Translates shard numbers of the whole query to those within a stage; ignores shards of other stages. */
    private static ImmutableList<Integer> toStageShards(List<Integer> numbers, List<Integer> shards) {
        return numbers.stream()
                .map(shards::indexOf)
                .filter(number -> number >= 0)
                .collect(ImmutableList.toImmutableList());
    }

    private static List<Map.Entry<String, String>> headers(StageCall call) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(call.getHeaderNamesCount());
        for (int position = 0; position < call.getHeaderNamesCount(); position++) {
            headers.add(new AbstractMap.SimpleImmutableEntry<>(
                    call.getHeaderNames(position), call.getHeaderValues(position)));
        }
        return headers;
    }

    /** A call that has not started. */
    private static final class QueuedCall implements StageCalls.Call {
        private boolean cancelled;

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public boolean cancelUnlessSent() {
            cancelled = true;
            return true;
        }

        @Override
        public void endNow() {
            // The call is refused when its turn comes.
        }
    }

    /** Sends partial results and the final result of a query to the calling host. */
    private record ReplySink(
            Consumer<Envelope.Builder> sendProgress,
            Consumer<Envelope.Builder> sendReply,
            List<Integer> shards,
            String onBehalfOf)
            implements AnswerSink {
        @Override
        public void deliverPartial(MergedAnswer partial) {
            sendProgress.accept(Envelope.newBuilder()
                    .setStageProgress(StageProgress.newBuilder()
                            .addAllSignatures(partial.signatures())
                            .addAllShards(toQueryShards(partial.shards(), shards))
                            .setRecords(partial.records())));
        }

        @Override
        public void deliver(MergedAnswer answer) {
            sendReply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.ANSWERED)
                            .addAllSignatures(answer.signatures())
                            .addAllShards(toQueryShards(answer.shards(), shards))
                            .addAllNotSent(toQueryShards(answer.notSent(), shards))
                            .addAllUnusedAttempts(toQueryShards(answer.unusedAttempts(), shards))
                            .setRecords(answer.records())));
        }

        @Override
        public void refuse(RefusalReason reason) {
            StageResult.Status status = reason.isNotRun() ? StageResult.Status.NOT_RUN : StageResult.Status.FAILED;
            sendReply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder().setStatus(status).setReason(reason.name())));
        }
    }
}
