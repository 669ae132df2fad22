package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.LinkedHashMultiset;
import com.google.common.collect.Multiset;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RouteTarget;

/**
 * Hosts that run one query over simulated time: messages are delayed, hosts stop and continue, and leaves answer late,
 * fail, refuse or disconnect. Counts the leaves of each shard that ran the query.
 *
 * <p>The calling host delegates some shards to a holder, and others to a relay that forwards them to a holder. Messages
 * between two hosts keep their order.
 */
final class SimulatedFleet {
    static final int MAX_ATTEMPTS = 2;
    private static final ImmutableList<String> HOSTS = ImmutableList.of("caller", "holder", "relay", "relay-holder");
    private static final int SHARDS = 9;
    private static final int LEAVES_PER_SHARD = 6;
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long HEDGE_DELAY_NANOS = 60 * MILLI;
    private static final long EXPECTED_NANOS = 5 * MILLI;
    private static final long GOAL_NANOS = 250 * MILLI;
    private static final long DEADLINE_NANOS = 1_000 * MILLI;
    private static final ImmutableList<Integer> HOLDER_SHARDS = ImmutableList.of(3, 4, 5);
    private static final ImmutableList<Integer> RELAY_SHARDS = ImmutableList.of(6, 7, 8);

    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Host> hosts = new HashMap<>();
    /** Runs what happens outside the hosts; it is never paused. */
    private final Host network = new Host("network");

    private final Multiset<String> runs = LinkedHashMultiset.create();
    private int outcomes;
    private long nowNanos;
    private long nextSequence;

    SimulatedFleet(long seed) {
        random = new SplittableRandom(seed);
        for (String name : HOSTS) {
            hosts.put(name, new Host(name));
        }
    }

    /** Runs the query, and all that it causes, to the end. */
    void run() {
        for (int pause = 0; pause < 4; pause++) {
            Host host = host(HOSTS.get(random.nextInt(HOSTS.size())));
            long fromNanos = random.nextLong(150 * MILLI);
            long toNanos = fromNanos + 20 * MILLI + random.nextLong(160 * MILLI);
            at(fromNanos, network, () -> host.pausedUntilNanos = Math.max(host.pausedUntilNanos, toNanos));
        }
        Host caller = host("caller");
        Query query = new Query(
                caller,
                shards(0, SHARDS),
                ImmutableMap.of("holder", HOLDER_SHARDS, "relay", RELAY_SHARDS),
                new RequestBounds(GOAL_NANOS, DEADLINE_NANOS, HEDGE_DELAY_NANOS, EXPECTED_NANOS, MAX_ATTEMPTS),
                ScatterQuery.Delivery.SINGLE,
                Optional.empty());
        at(0, caller, query::start);
        while (!events.isEmpty()) {
            Event event = events.remove();
            nowNanos = Math.max(nowNanos, event.atNanos);
            if (event.host.pausedUntilNanos > nowNanos) {
                events.add(new Event(event.host.pausedUntilNanos, event.sequence, event.host, event.task));
            } else {
                event.task.run();
            }
        }
    }

    /** Returns how many leaves ran the query, by the name of the shard. */
    Multiset<String> runs() {
        return runs;
    }

    /** Returns the names of the shards that the calling host delegates. */
    static ImmutableList<String> delegatedShards() {
        return Stream.concat(HOLDER_SHARDS.stream(), RELAY_SHARDS.stream())
                .map(shard -> "s" + shard)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns how often the query was answered or refused. */
    int outcomes() {
        return outcomes;
    }

    private static ImmutableList<Integer> shards(int from, int to) {
        ImmutableList.Builder<Integer> shards = ImmutableList.builder();
        for (int shard = from; shard < to; shard++) {
            shards.add(shard);
        }
        return shards.build();
    }

    private Host host(String name) {
        return Optional.ofNullable(hosts.get(name)).orElseThrow();
    }

    private void at(long atNanos, Host host, Runnable task) {
        events.add(new Event(atNanos, nextSequence++, host, task));
    }

    /** Delivers a message after those that were sent from the same host to the same host before. */
    private void send(Host from, Host to, Runnable receive) {
        long arrivalNanos = Math.max(nowNanos + MILLI / 5 + random.nextLong(8 * MILLI), from.lastArrivalAt(to));
        from.lastArrivals.put(to.name, arrivalNanos);
        at(arrivalNanos, to, receive);
    }

    private record Event(long atNanos, long sequence, Host host, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** One host with its own view of the leaves. */
    private static final class Host {
        private final String name;
        private final ImmutableList<PermittedLeaves> pools;
        private final Map<String, Long> lastArrivals = new HashMap<>();
        private long pausedUntilNanos;

        Host(String name) {
            this.name = name;
            ImmutableList.Builder<PermittedLeaves> built = ImmutableList.builder();
            for (int shard = 0; shard < SHARDS; shard++) {
                LeafPool pool = new LeafPool("s" + shard, RoutedRequestHarness.budget(0, 100));
                for (int number = 0; number < LEAVES_PER_SHARD; number++) {
                    pool.add(new Leaf(
                            "s" + shard + "-" + number,
                            "s" + shard,
                            "10.0.0.1:1",
                            Distance.SAME_ZONE,
                            2,
                            Duration.ZERO,
                            0));
                }
                built.add(pool.permitted(HomeRegions.ANY));
            }
            this.pools = built.build();
        }

        long lastArrivalAt(Host other) {
            return lastArrivals.getOrDefault(other.name, 0L);
        }
    }

    /** The host and the stage on whose behalf a query runs. */
    private record Delegator(Query query, StageAttempt stage) {}

    /** The query on one host; carries out its actions as {@code ScatterRun} and {@code StageServer} do. */
    private final class Query {
        private final Host host;
        private final ImmutableList<Integer> shards;
        private final RequestBounds bounds;
        private final ScatterQuery query;
        private final Optional<Delegator> delegator;
        private final Map<Attempt, Leaf.Call> calls = new HashMap<>();
        private final Map<StageAttempt, Query> delegates = new HashMap<>();
        private long wakeNumber;

        Query(
                Host host,
                ImmutableList<Integer> shards,
                ImmutableMap<String, ImmutableList<Integer>> stages,
                RequestBounds bounds,
                ScatterQuery.Delivery delivery,
                Optional<Delegator> delegator) {
            this.host = host;
            this.shards = shards;
            this.bounds = bounds;
            this.delegator = delegator;
            ImmutableList.Builder<StageAttempt> attempts = ImmutableList.builder();
            stages.forEach((name, delegated) -> attempts.add(new StageAttempt(
                    name, delegated, StageTiming.silenceTimeoutNanos(bounds.hedgeDelayNanos(), 8 * MILLI))));
            this.query = new ScatterQuery(
                    new RouteTarget.Scatter(
                            shards.stream().map(shard -> "s" + shard).collect(ImmutableList.toImmutableList()),
                            5,
                            delegator.isPresent() ? 0 : 0.9),
                    shards.stream().map(host.pools::get).collect(ImmutableList.toImmutableList()),
                    attempts.build(),
                    bounds,
                    delivery,
                    RoutingContext.plain(),
                    random.split());
        }

        void start() {
            execute(query.start(nowNanos));
            if (query.isAwaitingStages()) {
                reportProgress();
            }
        }

        private void wake(long number) {
            if (number == wakeNumber && !query.isOver()) {
                execute(query.wake(nowNanos));
                if (!query.isOver()) {
                    reportProgress();
                }
            }
        }

        private void execute(List<RoutedAction> actions) {
            for (RoutedAction action : actions) {
                if (action instanceof RoutedAction.CallLeaf call) {
                    callLeaf(call.attempt());
                } else if (action instanceof RoutedAction.AbandonAttempt abandon) {
                    end(abandon.attempt(), Optional.empty());
                } else if (action instanceof RoutedAction.CallStage call) {
                    callStage(call.stage());
                } else if (action instanceof RoutedAction.AbandonStage abandon) {
                    send(
                            host,
                            hostOf(abandon.stage()),
                            () -> Optional.ofNullable(delegates.get(abandon.stage()))
                                    .ifPresent(delegate -> delegate.execute(delegate.query.callerGone())));
                } else if (action instanceof RoutedAction.Wake wake) {
                    long number = ++wakeNumber;
                    at(Math.max(nowNanos, wake.atNanos()), host, () -> wake(number));
                } else if (action instanceof RoutedAction.RequestAttempts request) {
                    List<Integer> wanted =
                            request.shards().stream().map(shards::get).toList();
                    reply((caller, stage) -> caller.execute(
                            caller.query.onAttemptsRequested(stage, caller.numbersOf(wanted), nowNanos)));
                } else if (action instanceof RoutedAction.AnswerAttemptRequest answer) {
                    answerAttemptRequest(answer);
                } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                    reply((caller, stage) ->
                            caller.execute(caller.query.onStagePartial(stage, translate(deliver.partial()), nowNanos)));
                } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                    onEnd();
                    reply((caller, stage) ->
                            caller.execute(caller.query.onStageReply(stage, translate(deliver.answer()), nowNanos)));
                } else if (action instanceof RoutedAction.Refuse refuse) {
                    onEnd();
                    boolean notRun = query.finalRefusalReason(refuse.reason()).isNotRun();
                    reply((caller, stage) -> caller.execute(caller.query.onStageFailure(stage, notRun, nowNanos)));
                }
            }
        }

        private void answerAttemptRequest(RoutedAction.AnswerAttemptRequest answer) {
            List<Integer> granted = answer.granted().stream().map(shards::get).toList();
            List<Integer> denied = answer.denied().stream().map(shards::get).toList();
            send(
                    host,
                    hostOf(answer.stage()),
                    () -> Optional.ofNullable(delegates.get(answer.stage()))
                            .ifPresent(delegate -> delegate.execute(delegate.query.onAttemptsAnswered(
                                    delegate.numbersOf(granted), delegate.numbersOf(denied), nowNanos))));
        }

        private ImmutableList<Integer> numbersOf(List<Integer> named) {
            return named.stream().map(shards::indexOf).collect(ImmutableList.toImmutableList());
        }

        private void onEnd() {
            if (delegator.isEmpty()) {
                outcomes++;
            } else if (!query.hedgedShards().isEmpty()) {
                reportProgress();
            }
        }

        private void reportProgress() {
            List<Integer> hedged =
                    query.hedgedShards().stream().map(shards::get).toList();
            reply((caller, stage) -> {
                caller.execute(caller.query.onStageProgress(stage, caller.numbersOf(hedged)));
                if (!caller.query.isOver()) {
                    caller.reportProgress();
                }
            });
        }

        private void reply(BiConsumer<Query, StageAttempt> receive) {
            delegator.ifPresent(to -> send(host, to.query().host, () -> receive.accept(to.query(), to.stage())));
        }

        private StageReply translate(MergedAnswer answer) {
            Query caller = delegator.orElseThrow().query();
            return new StageReply(
                    toCaller(caller, answer.shards()),
                    answer.signatures(),
                    toCaller(caller, answer.notSent()),
                    toCaller(caller, answer.unusedAttempts()),
                    ByteString.EMPTY);
        }

        private ImmutableList<Integer> toCaller(Query caller, List<Integer> numbers) {
            return caller.numbersOf(numbers.stream().map(shards::get).toList());
        }

        private Host hostOf(StageAttempt stage) {
            return host(stage.host());
        }

        private void callStage(StageAttempt stage) {
            Host other = hostOf(stage);
            ImmutableList<Integer> delegated =
                    stage.shards().stream().map(shards::get).collect(ImmutableList.toImmutableList());
            long goalNanos = bounds.goalNanos() - 16 * MILLI;
            long arrivalNanos = Math.max(nowNanos + MILLI / 5 + random.nextLong(8 * MILLI), host.lastArrivalAt(other));
            host.lastArrivals.put(other.name, arrivalNanos);
            at(arrivalNanos, other, () -> startDelegate(other, stage, delegated, goalNanos, arrivalNanos));
        }

        private void startDelegate(
                Host other, StageAttempt stage, ImmutableList<Integer> delegated, long goalNanos, long arrivalNanos) {
            long waitedNanos = nowNanos - arrivalNanos;
            if (waitedNanos >= bounds.hedgeDelayNanos()) {
                send(other, host, () -> execute(query.onStageFailure(stage, true, nowNanos)));
                return;
            }
            Query delegate = new Query(
                    other,
                    delegated,
                    stage.host().equals("relay")
                            ? ImmutableMap.of("relay-holder", shards(0, delegated.size()))
                            : ImmutableMap.of(),
                    new RequestBounds(
                            goalNanos,
                            bounds.deadlineNanos() - 16 * MILLI,
                            bounds.hedgeDelayNanos(),
                            EXPECTED_NANOS,
                            1,
                            bounds.maxAttempts() + bounds.obtainableAttempts() - 1),
                    ScatterQuery.Delivery.INCREMENTAL,
                    Optional.of(new Delegator(this, stage)));
            delegates.put(stage, delegate);
            delegate.start();
        }

        /** Sends a call that takes 4 ms at most leaves; some are slow, fail, refuse it or lose the connection. */
        private void callLeaf(Attempt attempt) {
            calls.put(attempt, attempt.leaf().begin(EXPECTED_NANOS, nowNanos));
            RandomGenerator outcomes = random;
            int kind = outcomes.nextInt(100);
            long workNanos = (kind < 15 ? 130 : 4) * MILLI;
            LeafOutcome outcome = kind < 85
                    ? LeafOutcome.SUCCEEDED
                    : kind < 91 ? LeafOutcome.FAILED : kind < 95 ? LeafOutcome.BROKEN : LeafOutcome.REFUSED_BUSY;
            at(nowNanos + MILLI / 2, network, () -> {
                if (!outcome.isNotRun()) {
                    runs.add(attempt.leaf().service());
                }
                at(nowNanos + workNanos, host, () -> end(attempt, Optional.of(outcome)));
            });
        }

        private void end(Attempt attempt, Optional<LeafOutcome> outcome) {
            Leaf.Call call = calls.remove(attempt);
            if (call == null) {
                return;
            }
            if (outcome.isEmpty()) {
                attempt.leaf().abandon(call, nowNanos);
                return;
            }
            attempt.leaf().end(call, outcome.get(), Optional.empty(), nowNanos);
            if (outcome.get() == LeafOutcome.SUCCEEDED) {
                String signature = host.name + "-" + attempt.leaf().id() + "-" + nowNanos;
                execute(query.onAnswer(attempt, new PartReply(signature, ByteString.EMPTY), nowNanos));
            } else {
                execute(query.onFailure(attempt, outcome.get(), nowNanos));
            }
        }
    }
}
