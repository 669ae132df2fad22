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
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
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
import org.bramblerack.wire.StageProgress;
import org.bramblerack.wire.StageResult;

/**
 * Runs scattered queries near the leafs on behalf of other hosts.
 *
 * <p>Which shards a query has is said by the host that took it from its caller, whichever version of the configuration
 * is in force here: while a version spreads, or hosts are cut off from control, hosts differ. Owned by the event loop.
 */
final class StageServer {
    private final FleetView view;
    private final QueryRuns runs;
    private final CallHeaders names;
    private final FinalizeLead finalizeLead;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final HeldLeafCalls leafCalls;
    private final StageCalls calls = new StageCalls();
    private boolean refusingWork;

    StageServer(
            FleetView view,
            QueryRuns runs,
            CallHeaders names,
            FinalizeLead sealLead,
            MonotonicClock clock,
            EventLoop loop) {
        this.view = view;
        this.runs = runs;
        this.names = names;
        this.finalizeLead = sealLead;
        this.clock = clock;
        this.loop = loop;
        this.leafCalls = new HeldLeafCalls(view, clock);
    }

    /** Refuses new queries from now on; those under way are finished. */
    void refuseWork() {
        refusingWork = true;
    }

    /** Gives up a call of another host that nobody waits for any more. */
    void cancel(String sender, StageCancel cancel) {
        calls.cancel(sender, cancel.getCall());
    }

    /**
     * Runs a query, or asks the one leaf that is named, and replies.
     *
     * <p>A query begins once everything that has arrived was read: on a host that is behind, as just after a start, the
     * word that nobody waits for it any more is often among that.
     */
    void handle(String sender, StageCall call, Consumer<Envelope.Builder> sendReply) {
        Consumer<Envelope.Builder> reply = message -> sendReply.accept(withLag(message));
        Consumer<Envelope.Builder> lastReply = message -> {
            calls.end(sender, call.getCall());
            reply.accept(message);
        };
        HomeRegions homes = homeRegions(call);
        LeafRequest request = LeafRequest.create(
                call.getMethod(),
                call.getUri(),
                headers(call),
                call.getBody().toByteArray(),
                homes,
                call.getTeam(),
                names);
        // Its times count from when it came, so that no leaf is given more time than the caller has left.
        long arrivedNanos = view.routing().eventLoopLag().arrivalNanos(clock.nowNanos());
        if (call.getLeaf().isEmpty()) {
            AtomicBoolean cancelled = new AtomicBoolean();
            calls.begin(sender, call.getCall(), () -> cancelled.set(true));
            loop.execute(() -> {
                if (!cancelled.get()) {
                    calls.end(sender, call.getCall());
                    runQuery(sender, call, homes, arrivedNanos, request, reply, lastReply);
                }
            });
        } else {
            AtomicBoolean ended = new AtomicBoolean();
            Runnable cancelTask = leafCalls.call(call, arrivedNanos, request, message -> {
                ended.set(true);
                lastReply.accept(message);
            });
            if (!ended.get()) {
                calls.begin(sender, call.getCall(), cancelTask);
            }
        }
    }

    /** Adds how far this host is behind, so that others know which host has room. */
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

    /** Runs a query and replies, with word of progress before if shards are asked twice. */
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
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.NOT_RUN)
                            .setReason(refusal.get())));
            return;
        }
        RequestTimes times = new RequestTimes(
                arrivedNanos + goalNanos(call),
                arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()),
                arrivedNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()));
        int maxAttempts = maxAttempts(call, arrivedNanos);
        // However little is in is sent back, since only the host that asked knows the rest.
        RouteTarget.Scatter target =
                new RouteTarget.Scatter(ImmutableList.copyOf(call.getServicesList()), call.getTopRecords(), 0);
        ScatterRun run = runs.scatterForHost(
                new RoutedCall(
                        // Says the homes and the rank, also those of the team.
                        route(call, target, homes, maxAttempts),
                        CallerIdentity.ANONYMOUS,
                        call.getConfigurationVersion(),
                        request,
                        arrivedNanos,
                        times),
                target,
                TimeUnit.MICROSECONDS.toNanos(call.getHedgeDelayMicros()),
                !call.getPassedOn(),
                runs.stageCaller(forwardedCall(call, homes, maxAttempts), target.shards(), times, request),
                new ReplySink(reply, lastReply, call.getShardsList(), sender));
        run.onProgress(() -> reply.accept(Envelope.newBuilder()
                .setStageProgress(StageProgress.newBuilder()
                        .addAllAskedTwice(toQueryShards(run.hedgedShards(), call.getShardsList())))));
        run.start();
        if (!run.isOver()) {
            calls.begin(sender, call.getCall(), run::callerGone);
        }
    }

    /**
     * Returns why a call is not run, if it is not. One that waited here for longer than the host that asked waits for a
     * first word is asked elsewhere by now; begun all the same, it would take one leaf more than the route allows.
     */
    private Optional<String> refusalReason(StageCall call, HomeRegions homes, LeafRequest request, long arrivedNanos) {
        if (refusingWork) {
            return Optional.of("this host is stopping");
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
     * Returns the regions that may serve a call: those that the host that asked knows of its route and its team and
     * those that this host does, since for a moment the two may follow different versions of the configuration.
     */
    private HomeRegions homeRegions(StageCall call) {
        RoutingConfiguration known = view.configuration();
        HomeRegions ofRoute =
                known.routeNamed(call.getRoute()).map(Route::homeRegions).orElse(HomeRegions.ANY);
        HomeRegions ofTeam =
                known.teams().named(call.getTeam()).map(Team::homeRegions).orElse(HomeRegions.ANY);
        return HomeRegions.of(call.getHomeRegionsList()).intersect(ofRoute).intersect(ofTeam);
    }

    /**
     * Returns how many leafs of a shard may be asked here. The host that asked makes an attempt of its own if it waits
     * for the first word longer than it allows for the way: then a call that waited here has one left.
     */
    private int maxAttempts(StageCall call, long arrivedNanos) {
        boolean waited = clock.nowNanos() - arrivedNanos > StageTiming.SILENCE_SLACK_NANOS;
        return waited ? Math.max(1, call.getMaxAttempts() - 1) : call.getMaxAttempts();
    }

    /** Returns what hosts are told that are asked in turn; shards and times are added for each. */
    private static StageCall forwardedCall(StageCall call, HomeRegions homes, int maxAttempts) {
        return call.toBuilder()
                .clearShards()
                .clearServices()
                .setMaxAttempts(maxAttempts)
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
     * Returns the route of a call as it is here, or as the call describes it if it is not known here (any more).
     *
     * <p>Evidence of how long calls take is kept by its name.
     */
    private Route route(StageCall call, RouteTarget.Scatter target, HomeRegions homes, int maxAttempts) {
        return view.configuration()
                .routeNamed(call.getRoute())
                .filter(known -> known.maxAttempts() == maxAttempts
                        && known.homeRegions().equals(homes)
                        && known.priority() == call.getPriority())
                .orElseGet(() -> new Route(
                        call.getRoute(),
                        "",
                        "/",
                        RequestKind.IDEMPOTENT,
                        Duration.ofNanos(Math.max(1, TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()))),
                        Duration.ofNanos(Math.max(0, TimeUnit.MICROSECONDS.toNanos(call.getGoalMicros()))),
                        Math.max(0, call.getPriority()),
                        maxAttempts,
                        target,
                        homes));
    }

    /** Returns how long after a call came what is in by then is sent; on a host that is behind, earlier. */
    private long goalNanos(StageCall call) {
        Duration goal = Duration.ofNanos(Math.max(0, TimeUnit.MICROSECONDS.toNanos(call.getGoalMicros())));
        return StageTiming.localGoalNanos(goal.toNanos(), finalizeLead.overrunNanos(goal));
    }

    /** Turns the numbers of shards of a part into those of the whole. */
    private static ImmutableList<Integer> toQueryShards(List<Integer> numbers, List<Integer> shards) {
        return numbers.stream().map(shards::get).collect(ImmutableList.toImmutableList());
    }

    private static List<Map.Entry<String, String>> headers(StageCall call) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(call.getHeaderNamesCount());
        for (int position = 0; position < call.getHeaderNamesCount(); position++) {
            headers.add(new AbstractMap.SimpleImmutableEntry<>(
                    call.getHeaderNames(position), call.getHeaderValues(position)));
        }
        return headers;
    }

    /** Sends the end of a query back to the host that asked. */
    private record ReplySink(
            Consumer<Envelope.Builder> sendProgress,
            Consumer<Envelope.Builder> sendReply,
            List<Integer> shards,
            String onBehalfOf)
            implements AnswerSink {
        @Override
        public void deliverPartial(MergedAnswer piece) {
            sendProgress.accept(Envelope.newBuilder()
                    .setStageProgress(StageProgress.newBuilder()
                            .addAllSignatures(piece.signatures())
                            .addAllShards(toQueryShards(piece.shards(), shards))
                            .setRecords(piece.records())));
        }

        @Override
        public void deliver(MergedAnswer answer) {
            sendReply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.ANSWERED)
                            .addAllSignatures(answer.signatures())
                            .addAllShards(toQueryShards(answer.shards(), shards))
                            .addAllNotSent(toQueryShards(answer.notSent(), shards))
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
