package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bramblerack.process.LatencyTracker;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafLoad;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.request.routed.Attempt;
import org.bramblerack.request.routed.HedgeTiming;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.PartReply;
import org.bramblerack.request.routed.RefusalReason;
import org.bramblerack.request.routed.RequestBounds;
import org.bramblerack.request.routed.RoutedAction;
import org.bramblerack.request.routed.ScatterQuery;
import org.bramblerack.request.routed.StageAttempt;
import org.bramblerack.request.routed.StageReply;
import org.bramblerack.request.routed.StageTiming;
import org.bramblerack.version.routing.RouteTarget;
import org.jspecify.annotations.Nullable;

/** Executes the routing actions of one query at one modelled host. Not safe for use by several threads. */
final class ModelQuery {
    private static final ByteString NO_RECORDS = ByteString.EMPTY;

    private final Run run;
    private final ModelHost host;
    private final Arrival arrival;
    private final RequestBounds bounds;
    private final ScatterQuery query;
    private final ResultSink sink;
    private final LatencyTracker latency;
    private final Map<Attempt, PendingCall> pendingCalls = new HashMap<>();
    private final Map<StageAttempt, ModelQuery> stages = new HashMap<>();
    private long wakeNumber;

    /** Receives the results of a query. */
    interface ResultSink {
        /** Handles the whole answer or the last partial result. */
        void deliver(MergedAnswer answer);

        /** Handles a partial result that others follow. */
        void deliverPartial(MergedAnswer partial);

        /** Handles the list of shards that were called a second time. */
        void reportHedgedShards(List<Integer> hedgedShards);

        /** Handles a request for one more attempt at each of some shards. */
        void requestAttempts(List<Integer> requested);

        /** Handles a refusal, after which no result follows. */
        void refuse(RefusalReason reason);
    }

    private record PendingCall(ModelConnections.Call call, Leaf.Call evidence) {}

    private ModelQuery(
            Run run,
            ModelHost host,
            Arrival arrival,
            ImmutableList<Integer> shards,
            RequestBounds bounds,
            boolean incremental,
            ResultSink sink) {
        this.run = run;
        this.host = host;
        this.arrival = arrival;
        this.bounds = bounds;
        this.sink = sink;
        this.latency = host.latency(arrival.load());
        ImmutableList<PermittedLeaves> pools =
                shards.stream().map(host.permittedLeaves()::get).collect(ImmutableList.toImmutableList());
        ImmutableList<StageAttempt> planned =
                incremental ? ImmutableList.of() : host.plan(bounds.expectedNanos(), bounds.hedgeDelayNanos());
        ImmutableList<String> services =
                pools.stream().map(PermittedLeaves::service).collect(ImmutableList.toImmutableList());
        this.query = new ScatterQuery(
                new RouteTarget.Scatter(
                        services, 1, incremental ? 0 : arrival.load().minCoverage()),
                pools,
                planned,
                bounds,
                incremental ? ScatterQuery.Delivery.INCREMENTAL : ScatterQuery.Delivery.SINGLE,
                host.context(),
                host.random());
    }

    /** Creates the query for a caller, which goes to all shards. */
    static ModelQuery forCaller(Run run, ModelHost host, Arrival arrival, ResultSink sink) {
        long nowNanos = run.time().nowNanos();
        Load load = arrival.load();
        LatencyTracker latency = host.latency(load);
        RequestBounds bounds = new RequestBounds(
                nowNanos + load.goal().toNanos() - run.fleet().finalizeLead().toNanos(),
                arrival.deadlineNanos() - run.fleet().toCaller().toNanos(),
                HedgeTiming.hedgeDelayNanos(latency, load.goal()),
                latency.medianNanos(),
                load.maxAttempts());
        ImmutableList.Builder<Integer> all = ImmutableList.builder();
        for (int shard = 0; shard < host.permittedLeaves().size(); shard++) {
            all.add(shard);
        }
        return new ModelQuery(run, host, arrival, all.build(), bounds, false, sink);
    }

    void start() {
        execute(query.start(run.time().nowNanos()));
    }

    void abandon() {
        if (!query.isOver()) {
            query.callerGone();
        }
        List.copyOf(pendingCalls.keySet()).forEach(this::abandon);
    }

    private void execute(List<RoutedAction> actions) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf call) {
                send(call.attempt());
            } else if (action instanceof RoutedAction.AbandonAttempt abandon) {
                abandon(abandon.attempt());
            } else if (action instanceof RoutedAction.CallStage call) {
                callStage(call.stage());
            } else if (action instanceof RoutedAction.AbandonStage abandon) {
                abandonStage(abandon.stage());
            } else if (action instanceof RoutedAction.Wake wake) {
                long number = ++wakeNumber;
                run.time().at(wake.atNanos(), () -> wake(number));
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                wakeNumber++;
                sink.reportHedgedShards(query.hedgedShards());
                sink.deliver(deliver.answer());
            } else if (action instanceof RoutedAction.RequestAttempts request) {
                sink.requestAttempts(request.shards());
            } else if (action instanceof RoutedAction.AnswerAttemptRequest answer) {
                answerAttemptRequest(answer);
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                sink.deliverPartial(deliver.partial());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                wakeNumber++;
                sink.reportHedgedShards(query.hedgedShards());
                sink.refuse(refuse.reason());
            } else if (action instanceof RoutedAction.Count count) {
                run.counts().count(count.counter());
            }
        }
    }

    private void wake(long number) {
        if (number == wakeNumber && !query.isOver()) {
            execute(query.wake(run.time().nowNanos()));
            sink.reportHedgedShards(query.hedgedShards());
        }
    }

    private void send(Attempt attempt) {
        Leaf leaf = attempt.leaf();
        Leaf.Call evidence = leaf.begin(bounds.expectedNanos(), run.time().nowNanos());
        int shard = Integer.parseInt(leaf.service().substring("shard-".length()));
        ModelConnections.CallListener listener = new ModelConnections.CallListener() {
            @Override
            public void onArrival() {
                run.checks().recordArrival(arrival, shard, run.time().nowNanos());
            }

            @Override
            public void onEnd(LeafOutcome outcome, @Nullable LeafLoad load) {
                pendingCalls.remove(attempt);
                ModelQuery.this.onCallEnded(attempt, evidence, outcome, Optional.ofNullable(load));
            }
        };
        run.counts().countAttempt(attempt.purpose());
        pendingCalls.put(
                attempt,
                new PendingCall(
                        host.connectionsTo(leaf).send(run.randomWorkNanos(arrival.load()), listener), evidence));
    }

    private void onCallEnded(Attempt attempt, Leaf.Call evidence, LeafOutcome outcome, Optional<LeafLoad> load) {
        long nowNanos = run.time().nowNanos();
        attempt.leaf().end(evidence, outcome, load, nowNanos);
        if (outcome == LeafOutcome.SUCCEEDED) {
            latency.record(nowNanos - evidence.sentNanos(), nowNanos);
            PartReply part = new PartReply(run.newSignature(), NO_RECORDS);
            execute(query.onAnswer(attempt, part, nowNanos));
        } else {
            run.counts().recordLeafRefusal();
            run.checks().recordNotRun(arrival, attempt.leaf().service());
            execute(query.onFailure(attempt, outcome, nowNanos));
        }
    }

    private void abandon(Attempt attempt) {
        PendingCall pending = pendingCalls.remove(attempt);
        if (pending != null) {
            attempt.leaf().abandon(pending.evidence(), run.time().nowNanos());
            pending.call().abandon();
        }
    }

    private void callStage(StageAttempt stage) {
        ModelHost other = host.host(stage.host());
        long networkDelayNanos = host.networkDelayNanosTo(other);
        long nowNanos = run.time().nowNanos();
        host.recordStageStart(stage.host());
        RequestBounds stageBounds = new RequestBounds(
                nowNanos
                        + networkDelayNanos
                        + StageTiming.remoteGoalNanos(bounds.goalNanos() - nowNanos, 2 * networkDelayNanos),
                bounds.deadlineNanos() - networkDelayNanos,
                bounds.hedgeDelayNanos(),
                other.latency(arrival.load()).medianNanos(),
                1,
                bounds.maxAttempts() - 1);
        ResultSink stageSink = new StageSink(stage, networkDelayNanos);
        run.time().after(networkDelayNanos, () -> {
            ModelQuery stageQuery = new ModelQuery(run, other, arrival, stage.shards(), stageBounds, true, stageSink);
            stages.put(stage, stageQuery);
            stageQuery.start();
        });
    }

    private void answerAttemptRequest(RoutedAction.AnswerAttemptRequest answer) {
        StageAttempt stage = answer.stage();
        ModelHost other = host.host(stage.host());
        List<Integer> granted =
                answer.granted().stream().map(stage.shards()::indexOf).toList();
        List<Integer> denied =
                answer.denied().stream().map(stage.shards()::indexOf).toList();
        run.time().after(host.networkDelayNanosTo(other), () -> {
            ModelQuery stageQuery = stages.get(stage);
            if (stageQuery != null && !stageQuery.query.isOver()) {
                stageQuery.execute(stageQuery.query.onAttemptsAnswered(
                        granted, denied, run.time().nowNanos()));
            }
        });
    }

    private void abandonStage(StageAttempt stage) {
        long networkDelayNanos = host.networkDelayNanosTo(host.host(stage.host()));
        run.time()
                .after(
                        networkDelayNanos,
                        () -> Optional.ofNullable(stages.get(stage)).ifPresent(ModelQuery::abandon));
    }

    /** Sends the results of a stage from the other host back to this one. */
    private final class StageSink implements ResultSink {
        private final StageAttempt stage;
        private final long networkDelayNanos;
        private final ImmutableList<Integer> shards;

        StageSink(StageAttempt stage, long networkDelayNanos) {
            this.stage = stage;
            this.networkDelayNanos = networkDelayNanos;
            this.shards = stage.shards();
        }

        private StageReply reply(MergedAnswer answer) {
            ImmutableList<Integer> translated =
                    answer.shards().stream().map(shards::get).collect(ImmutableList.toImmutableList());
            return new StageReply(translated, answer.signatures(), NO_RECORDS);
        }

        private void sendBack(Consumer<Long> task) {
            run.time().after(networkDelayNanos, () -> task.accept(run.time().nowNanos()));
        }

        @Override
        public void deliver(MergedAnswer answer) {
            sendBack(now -> {
                host.recordStageEnd(stage.host());
                execute(query.onStageReply(stage, reply(answer), now));
            });
        }

        @Override
        public void deliverPartial(MergedAnswer partial) {
            sendBack(now -> execute(query.onStagePartial(stage, reply(partial), now)));
        }

        @Override
        public void reportHedgedShards(List<Integer> hedgedShards) {
            ImmutableList<Integer> translated =
                    hedgedShards.stream().map(shards::get).collect(ImmutableList.toImmutableList());
            sendBack(now -> execute(query.onStageProgress(stage, translated)));
        }

        @Override
        public void requestAttempts(List<Integer> requested) {
            ImmutableList<Integer> translated =
                    requested.stream().map(shards::get).collect(ImmutableList.toImmutableList());
            sendBack(now -> execute(query.onAttemptsRequested(stage, translated, now)));
        }

        @Override
        public void refuse(RefusalReason reason) {
            sendBack(now -> {
                host.recordStageEnd(stage.host());
                execute(query.onStageFailure(stage, reason.isNotRun(), now));
            });
        }
    }
}
