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

/** Carries out the decisions of one query at one host, as the daemon does. Not safe for use by several threads. */
final class ModelQuery {
    private static final ByteString NO_RECORDS = ByteString.EMPTY;

    private final Run run;
    private final ModelHost host;
    private final Arrival arrival;
    private final RequestBounds bounds;
    private final ScatterQuery query;
    private final Sink sink;
    private final LatencyTracker latency;
    private final Map<Attempt, Sent> underWay = new HashMap<>();
    private final Map<StageAttempt, ModelQuery> stages = new HashMap<>();
    private long wakeNumber;

    /** What becomes of the query. */
    interface Sink {
        /** Takes the answer or the last piece. */
        void deliver(MergedAnswer answer);

        /** Takes a piece; more follow. */
        void piece(MergedAnswer piece);

        /** Takes word of the shards that were asked twice. */
        void progress(List<Integer> askedTwice);

        /** Takes a refusal. */
        void refuse(RefusalReason reason);
    }

    private record Sent(ModelConnections.Call call, Leaf.Call evidence) {}

    private ModelQuery(
            Run run,
            ModelHost host,
            Arrival arrival,
            ImmutableList<Integer> numbers,
            RequestBounds bounds,
            boolean inPieces,
            Sink sink) {
        this.run = run;
        this.host = host;
        this.arrival = arrival;
        this.bounds = bounds;
        this.sink = sink;
        this.latency = host.latency(arrival.load());
        ImmutableList<PermittedLeaves> pools =
                numbers.stream().map(host.pools()::get).collect(ImmutableList.toImmutableList());
        ImmutableList<StageAttempt> planned =
                inPieces ? ImmutableList.of() : host.plan(bounds.expectedNanos(), bounds.hedgeDelayNanos());
        ImmutableList<String> services =
                pools.stream().map(PermittedLeaves::service).collect(ImmutableList.toImmutableList());
        this.query = new ScatterQuery(
                new RouteTarget.Scatter(
                        services, 1, inPieces ? 0 : arrival.load().leastShare()),
                pools,
                planned,
                bounds,
                inPieces ? ScatterQuery.Delivery.INCREMENTAL : ScatterQuery.Delivery.SINGLE,
                host.context(),
                host.random());
    }

    /** Creates the query of a caller. */
    static ModelQuery ofCaller(Run run, ModelHost host, Arrival arrival, Sink sink) {
        long nowNanos = run.time().nowNanos();
        Load load = arrival.load();
        LatencyTracker latency = host.latency(load);
        RequestBounds bounds = new RequestBounds(
                nowNanos + load.goal().toNanos() - run.fleet().sealLead().toNanos(),
                arrival.deadlineNanos() - run.fleet().toCaller().toNanos(),
                HedgeTiming.hedgeDelayNanos(latency, load.goal()),
                latency.medianNanos(),
                load.attempts());
        ImmutableList.Builder<Integer> all = ImmutableList.builder();
        for (int shard = 0; shard < host.pools().size(); shard++) {
            all.add(shard);
        }
        return new ModelQuery(run, host, arrival, all.build(), bounds, false, sink);
    }

    void start() {
        carryOut(query.start(run.time().nowNanos()));
    }

    void giveUp() {
        if (!query.isOver()) {
            query.callerGone();
        }
        List.copyOf(underWay.keySet()).forEach(this::giveUp);
    }

    private void carryOut(List<RoutedAction> actions) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf ask) {
                send(ask.attempt());
            } else if (action instanceof RoutedAction.AbandonAttempt giveUp) {
                giveUp(giveUp.attempt());
            } else if (action instanceof RoutedAction.CallStage ask) {
                askStage(ask.stage());
            } else if (action instanceof RoutedAction.AbandonStage giveUp) {
                giveUpStage(giveUp.stage());
            } else if (action instanceof RoutedAction.Wake wake) {
                long number = ++wakeNumber;
                run.time().at(wake.atNanos(), () -> wake(number));
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                wakeNumber++;
                sink.progress(query.hedgedShards());
                sink.deliver(deliver.answer());
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                sink.piece(deliver.partial());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                wakeNumber++;
                sink.progress(query.hedgedShards());
                sink.refuse(refuse.reason());
            } else if (action instanceof RoutedAction.Count count) {
                run.tally().count(count.counter());
            }
        }
    }

    private void wake(long number) {
        if (number == wakeNumber && !query.isOver()) {
            carryOut(query.wake(run.time().nowNanos()));
            sink.progress(query.hedgedShards());
        }
    }

    private void send(Attempt attempt) {
        Leaf leaf = attempt.leaf();
        Leaf.Call evidence = leaf.begin(bounds.expectedNanos(), run.time().nowNanos());
        int shard = Integer.parseInt(leaf.service().substring("shard-".length()));
        ModelConnections.Taker taker = new ModelConnections.Taker() {
            @Override
            public void arrived() {
                run.checks().arrived(arrival, shard, run.time().nowNanos());
            }

            @Override
            public void ended(LeafOutcome outcome, @Nullable LeafLoad load) {
                underWay.remove(attempt);
                ModelQuery.this.ended(attempt, evidence, outcome, Optional.ofNullable(load));
            }
        };
        run.tally().countAttempt(attempt.purpose());
        underWay.put(attempt, new Sent(host.connectionsTo(leaf).send(run.work(arrival.load()), taker), evidence));
    }

    private void ended(Attempt attempt, Leaf.Call evidence, LeafOutcome outcome, Optional<LeafLoad> load) {
        long nowNanos = run.time().nowNanos();
        attempt.leaf().end(evidence, outcome, load, nowNanos);
        if (outcome == LeafOutcome.SUCCEEDED) {
            latency.record(nowNanos - evidence.sentNanos(), nowNanos);
            PartReply part = new PartReply(run.newSignature(), NO_RECORDS);
            carryOut(query.onAnswer(attempt, part, nowNanos));
        } else {
            run.tally().leafRefused();
            run.checks().notRun(arrival, attempt.leaf().service());
            carryOut(query.onFailure(attempt, outcome, nowNanos));
        }
    }

    private void giveUp(Attempt attempt) {
        Sent sent = underWay.remove(attempt);
        if (sent != null) {
            attempt.leaf().abandon(sent.evidence(), run.time().nowNanos());
            sent.call().giveUp();
        }
    }

    private void askStage(StageAttempt stage) {
        ModelHost other = host.host(stage.host());
        long wayNanos = host.wayNanosTo(other);
        long nowNanos = run.time().nowNanos();
        host.stageBegins(stage.host());
        RequestBounds theirs = new RequestBounds(
                nowNanos + wayNanos + StageTiming.remoteGoalNanos(bounds.goalNanos() - nowNanos, 2 * wayNanos),
                bounds.deadlineNanos() - wayNanos,
                bounds.hedgeDelayNanos(),
                other.latency(arrival.load()).medianNanos(),
                bounds.maxAttempts());
        Sink back = new StageSink(stage, wayNanos);
        run.time().after(wayNanos, () -> {
            ModelQuery part = new ModelQuery(run, other, arrival, stage.shards(), theirs, true, back);
            stages.put(stage, part);
            part.start();
        });
    }

    private void giveUpStage(StageAttempt stage) {
        long wayNanos = host.wayNanosTo(host.host(stage.host()));
        run.time().after(wayNanos, () -> Optional.ofNullable(stages.get(stage)).ifPresent(ModelQuery::giveUp));
    }

    /** Carries what another host gathered back to this one. */
    private final class StageSink implements Sink {
        private final StageAttempt stage;
        private final long wayNanos;
        private final ImmutableList<Integer> shards;

        StageSink(StageAttempt stage, long wayNanos) {
            this.stage = stage;
            this.wayNanos = wayNanos;
            this.shards = stage.shards();
        }

        private StageReply reply(MergedAnswer answer) {
            ImmutableList<Integer> translated =
                    answer.shards().stream().map(shards::get).collect(ImmutableList.toImmutableList());
            return new StageReply(translated, answer.signatures(), NO_RECORDS);
        }

        private void back(Consumer<Long> task) {
            run.time().after(wayNanos, () -> task.accept(run.time().nowNanos()));
        }

        @Override
        public void deliver(MergedAnswer answer) {
            back(now -> {
                host.stageEnds(stage.host());
                carryOut(query.onStageReply(stage, reply(answer), now));
            });
        }

        @Override
        public void piece(MergedAnswer piece) {
            back(now -> carryOut(query.onStagePartial(stage, reply(piece), now)));
        }

        @Override
        public void progress(List<Integer> askedTwice) {
            ImmutableList<Integer> translated =
                    askedTwice.stream().map(shards::get).collect(ImmutableList.toImmutableList());
            back(now -> query.onStageProgress(stage, translated));
        }

        @Override
        public void refuse(RefusalReason reason) {
            back(now -> {
                host.stageEnds(stage.host());
                carryOut(query.onStageFailure(stage, reason.isNotRun(), now));
            });
        }
    }
}
