package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageCancel;
import org.bramblerack.wire.StageProgress;
import org.bramblerack.wire.StageResult;

/**
 * Runs scattered queries near the leafs on behalf of other hosts.
 *
 * <p>A query of another version of the configuration than the one in force here is not run, since its shards may be
 * others. Owned by the event loop.
 */
final class StageServer {
    private final FleetView view;
    private final QueryRuns runs;
    private final CallHeaders names;
    private final MonotonicClock clock;
    private final HeldLeafCalls leafCalls;
    private final StageCalls calls = new StageCalls();
    private boolean refusesWork;

    StageServer(FleetView view, QueryRuns runs, CallHeaders names, MonotonicClock clock) {
        this.view = view;
        this.runs = runs;
        this.names = names;
        this.clock = clock;
        this.leafCalls = new HeldLeafCalls(view, clock);
    }

    /** Refuses new queries from now on; those under way are finished. */
    void refuseWork() {
        refusesWork = true;
    }

    /** Gives up a call of another host that nobody waits for any more. */
    void cancel(String sender, StageCancel cancel) {
        calls.cancel(sender, cancel.getCall());
    }

    /** Runs a query, or asks the one leaf that is named, and replies. */
    void handle(String sender, StageCall call, Consumer<Envelope.Builder> reply) {
        Consumer<Envelope.Builder> lastReply = message -> {
            calls.end(sender, call.getCall());
            reply.accept(message);
        };
        LeafRequest request = LeafRequest.create(
                call.getMethod(), call.getUri(), headers(call), call.getBody().toByteArray(), names);
        if (call.getLeaf().isEmpty()) {
            runQuery(sender, call, request, reply, lastReply);
        } else {
            AtomicBoolean over = new AtomicBoolean();
            Runnable giveUp = leafCalls.ask(call, request, message -> {
                over.set(true);
                lastReply.accept(message);
            });
            if (!over.get()) {
                calls.begin(sender, call.getCall(), giveUp);
            }
        }
    }

    /** Runs a query and replies, with word of progress before if shards are asked twice. */
    private void runQuery(
            String sender,
            StageCall call,
            LeafRequest request,
            Consumer<Envelope.Builder> reply,
            Consumer<Envelope.Builder> lastReply) {
        Optional<Route> route = view.configuration().version() == call.getConfigurationVersion() && !refusesWork
                ? view.configuration().routeNamed(call.getRoute())
                : Optional.empty();
        if (route.isEmpty()
                || !(route.get().target() instanceof RouteTarget.Scatter target)
                || !areShardsOf(target, call.getShardsList())) {
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.NOT_RUN)
                            .setReason("this configuration is not in force here")));
            return;
        }
        long nowNanos = clock.nowNanos();
        RequestTimes times = new RequestTimes(
                nowNanos + TimeUnit.MICROSECONDS.toNanos(call.getGoalMicros()),
                nowNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()),
                nowNanos + TimeUnit.MICROSECONDS.toNanos(call.getDeadlineMicros()));
        ScatterRun run = runs.scatterHere(
                new RoutedCall(route.get(), call.getConfigurationVersion(), request, nowNanos, times),
                part(target, call.getShardsList()),
                TimeUnit.MICROSECONDS.toNanos(call.getHedgeDelayMicros()),
                runs.stageCaller(call, times),
                new Replier(reply, lastReply, call.getShardsList(), sender));
        run.onStillAtWork(() -> reply.accept(Envelope.newBuilder()
                .setStageProgress(StageProgress.newBuilder()
                        .addAllAskedTwice(translate(run.askedTwice(), call.getShardsList())))));
        run.start();
        if (!run.isOver()) {
            calls.begin(sender, call.getCall(), run::callerGone);
        }
    }

    private static boolean areShardsOf(RouteTarget.Scatter target, List<Integer> shards) {
        return !shards.isEmpty()
                && shards.stream()
                        .allMatch(shard -> shard >= 0 && shard < target.shards().size());
    }

    /**
     * Returns the part of a query that is asked here: however little is in is sent back, since only the host that asked
     * knows the rest.
     */
    private static RouteTarget.Scatter part(RouteTarget.Scatter whole, List<Integer> shards) {
        ImmutableList<String> services =
                shards.stream().map(shard -> whole.shards().get(shard)).collect(ImmutableList.toImmutableList());
        return new RouteTarget.Scatter(services, whole.topRecords(), 0);
    }

    /** Turns the numbers of shards of a part into those of the whole. */
    private static ImmutableList<Integer> translate(List<Integer> numbers, List<Integer> shards) {
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
    private record Replier(
            Consumer<Envelope.Builder> progress,
            Consumer<Envelope.Builder> reply,
            List<Integer> shards,
            String onBehalfOf)
            implements AnswerSink {
        @Override
        public void deliverPiece(MergedAnswer piece) {
            progress.accept(Envelope.newBuilder()
                    .setStageProgress(StageProgress.newBuilder()
                            .addAllSignatures(piece.signatures())
                            .addAllShards(translate(piece.shards(), shards))
                            .setRecords(piece.records())));
        }

        @Override
        public void deliver(MergedAnswer answer) {
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.ANSWERED)
                            .addAllSignatures(answer.signatures())
                            .addAllShards(translate(answer.shards(), shards))
                            .setRecords(answer.records())));
        }

        @Override
        public void refuse(RefusalReason reason) {
            StageResult.Status status = reason.isNotRun() ? StageResult.Status.NOT_RUN : StageResult.Status.FAILED;
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder().setStatus(status).setReason(reason.name())));
        }
    }
}
