package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.request.routed.ForwardedRequest;
import org.bramblerack.request.routed.HedgeTiming;
import org.bramblerack.request.routed.RequestBounds;
import org.bramblerack.request.routed.ScatterQuery;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StagePlanner;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.wire.StageCall;

/** Creates the runs of requests from the current state of this host. Owned by the event loop. */
final class QueryRuns {
    private final FleetView view;
    private final StageLinks links;
    private final CallHeaders names;
    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private final EventLoop loop;
    private final RandomGenerator random;
    private final DecisionLog log;

    QueryRuns(
            FleetView view,
            StageLinks links,
            CallHeaders names,
            GatewayMetrics metrics,
            MonotonicClock clock,
            EventLoop loop,
            RandomGenerator random,
            DecisionLog log) {
        this.view = view;
        this.links = links;
        this.names = names;
        this.metrics = metrics;
        this.clock = clock;
        this.loop = loop;
        this.random = random;
        this.log = log;
    }

    /** Returns the delay after which an attempt of the route is hedged. */
    long hedgeDelayNanos(Route route) {
        return HedgeTiming.hedgeDelayNanos(view.latency(route), route.goal());
    }

    /** Returns true if a request may be accepted by a host that may be stopping. */
    boolean mayAccept(StopAdmission admission, Route route, long deadlineNanos) {
        Duration expected = route.goal().isZero()
                ? Duration.ZERO
                : Duration.ofNanos(
                        Math.max(route.goal().toNanos(), view.latency(route).medianNanos()));
        return route.kind() == RequestKind.IDEMPOTENT
                ? admission.mayAcceptRepeatable(route.name(), expected, deadlineNanos)
                : admission.mayAccept(route.name(), expected, deadlineNanos);
    }

    /** Creates the run of a query of a caller, which may delegate shards to other hosts. */
    ScatterRun scatter(RoutedCall call, RouteTarget.Scatter target, StageCaller caller, AnswerSink sink) {
        ImmutableList<PermittedLeaves> pools = permittedPools(call, target);
        RequestBounds bounds =
                bounds(call, hedgeDelayNanos(call.route()), call.route().maxAttempts(), 0);
        ImmutableList<StageAttempt> stages = view.usesStages()
                ? links.plan(
                        pools,
                        bounds.expectedNanos(),
                        bounds.hedgeDelayNanos(),
                        StagePlanner.Relays.USED,
                        ImmutableList.of())
                : ImmutableList.of();
        return run(
                call,
                new ScatterQuery(target, pools, stages, bounds, ScatterQuery.Delivery.SINGLE, view.routing(), random),
                caller,
                sink);
    }

    /**
     * Creates the run of a query on behalf of another host, which sets the hedge delay. If the fleet uses holders and
     * {@code mayForward} is true, shards whose best leaves are held by other hosts are forwarded to those holders, in
     * one call each.
     *
     * @param maxAttempts the attempts at each shard that the other host handed over
     * @param obtainableAttempts the further attempts at each shard that it may hand over on request
     */
    ScatterRun scatterForHost(
            RoutedCall call,
            RouteTarget.Scatter target,
            long hedgeDelayNanos,
            int maxAttempts,
            int obtainableAttempts,
            boolean mayForward,
            StageCaller caller,
            AnswerSink sink) {
        RequestBounds bounds = bounds(call, hedgeDelayNanos, maxAttempts, Math.max(0, obtainableAttempts));
        ImmutableList<PermittedLeaves> pools = permittedPools(call, target);
        ImmutableList<StageAttempt> stages = mayForward && view.usesHolders()
                ? links.plan(
                        pools,
                        bounds.expectedNanos(),
                        bounds.hedgeDelayNanos(),
                        StagePlanner.Relays.NOT_USED,
                        caller.query().getPassedOverList())
                : ImmutableList.of();
        ScatterQuery query = new ScatterQuery(
                target, pools, stages, bounds, ScatterQuery.Delivery.INCREMENTAL, view.routing(), random);
        return run(call, query, caller, sink);
    }

    /**
     * Creates the caller that delegates shards of one query to other hosts.
     *
     * @param shardServices the services that are the shards, in their order
     * @param request the query as it is sent to leaves
     */
    StageCaller stageCaller(
            StageCall call, ImmutableList<String> shardServices, RequestTimes times, LeafRequest request) {
        Runnable onSurvival = () -> view.harmFilter().recordSurvival(request.fingerprints(), clock.nowNanos());
        return new StageCaller(call, shardServices, times, links, clock, metrics, onSurvival);
    }

    private ScatterRun run(RoutedCall call, ScatterQuery query, StageCaller caller, AnswerSink sink) {
        LeafPath path = holderPath(caller.query());
        return new ScatterRun(call, query, sender(call, path), caller, sink, metrics, clock, log);
    }

    private ImmutableList<PermittedLeaves> permittedPools(RoutedCall call, RouteTarget.Scatter target) {
        ImmutableList.Builder<PermittedLeaves> pools =
                ImmutableList.builderWithExpectedSize(target.shards().size());
        target.shards().forEach(shard -> pools.add(view.pool(shard).permitted(call.homes())));
        return pools.build();
    }

    LeafPath holderPath(StageCall query) {
        return new HolderPath(query, view, links, names, clock);
    }

    /**
     * Creates a run that calls one leaf of a service.
     *
     * @param query returns the template of the calls to other hosts, used if the service is a shard that they hold
     */
    ForwardRun forward(RoutedCall call, String service, Supplier<StageCall> query, CallerAnswers caller) {
        boolean repeatable = call.route().kind() == RequestKind.IDEMPOTENT;
        RequestBounds bounds =
                bounds(call, hedgeDelayNanos(call.route()), call.route().maxAttempts(), 0);
        ForwardedRequest forwarded =
                new ForwardedRequest(view.pool(service).permitted(call.homes()), repeatable, bounds, random);
        LeafPath path = view.isHeld(service)
                ? holderPath(query.get().toBuilder().setWholeAnswer(true).build())
                : (leaf, request, deadlineNanos, callback) ->
                        view.connectionsTo(leaf).send(request, deadlineNanos, callback);
        return new ForwardRun(call, forwarded, sender(call, path), caller, metrics, clock, log);
    }

    private RequestBounds bounds(RoutedCall call, long hedgeDelayNanos, int maxAttempts, int obtainableAttempts) {
        return new RequestBounds(
                call.times().goalNanos(),
                call.times().deadlineNanos(),
                hedgeDelayNanos,
                view.latency(call.route()).medianNanos(),
                maxAttempts,
                obtainableAttempts);
    }

    private LeafSender sender(RoutedCall call, LeafPath path) {
        LatencyTracker latency = view.latency(call.route());
        return new LeafSender(
                call.request(), call.times().leafDeadlineNanos(), latency.medianNanos(), latency, path, clock, loop);
    }
}
