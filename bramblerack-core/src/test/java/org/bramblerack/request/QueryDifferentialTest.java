package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bramblerack.version.Preference;
import org.bramblerack.version.ShardMap;

/**
 * Compares the query with a naive implementation, which calls the replicas of each shard in turn until one answers,
 * under the same random upstream behaviors. Guards against mixed index versions and overstated coverage.
 */
final class QueryDifferentialTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 6;

    @Property(tries = 3_000, seed = "20261202", shrinking = ShrinkingMode.FULL)
    void agreesWithTheNaiveVersionAndNeverMixesOrOverstates(@ForAll long seed) {
        UpstreamBehaviors behaviors = new UpstreamBehaviors(seed);
        FakeService service = new FakeService(SHARDS);
        ShardMap pinned = service.serve(7);
        QueryRun run = new QueryRun(service, pinned, seed % 2 == 0 ? Preference.TIME : Preference.COVERAGE, seed);
        simulate(run, behaviors, seed);
        assertThat(run.isOver()).isTrue();
        Map<Integer, String> naive = naiveAnswers(pinned, behaviors);
        if (run.answer.isPresent() && run.answer.get().indexVersion() == 7) {
            for (CheckedReply reply : run.answer.get().replies()) {
                String known = naive.getOrDefault(reply.shard(), reply.payload().toStringUtf8());
                assertThat(reply.payload().toStringUtf8()).isEqualTo(known);
            }
        }
    }

    /** Delivers the results of all calls in order of time, interleaved with the query's wake-ups. */
    private static void simulate(QueryRun run, UpstreamBehaviors behaviors, long seed) {
        PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atNanos));
        SplittableRandom random = new SplittableRandom(seed);
        int scheduled = 0;
        long nowNanos = 0;
        while (!run.isOver()) {
            while (scheduled < run.sent.size()) {
                QueryAction.SendLeaf send = run.sent.get(scheduled++);
                Behavior behavior = behaviors.of(send.upstream().upstream());
                long atNanos = nowNanos + behavior.delayNanos();
                if (behavior != Behavior.LOST) {
                    events.add(new Event(atNanos, send, behavior));
                }
                if (behavior == Behavior.DUPLICATED) {
                    events.add(new Event(atNanos + random.nextLong(20 * MILLI_NANOS), send, behavior));
                }
            }
            Event next = events.peek();
            if (next == null || run.nextWakeNanos <= next.atNanos()) {
                nowNanos = Math.max(nowNanos, run.nextWakeNanos);
                run.wake(nowNanos);
            } else {
                events.poll();
                nowNanos = Math.max(nowNanos, next.atNanos());
                deliver(run, next, nowNanos);
            }
        }
        for (Event late : List.copyOf(events)) {
            deliver(run, late, nowNanos + MILLI_NANOS);
        }
    }

    private static void deliver(QueryRun run, Event event, long nowNanos) {
        QueryAction.SendLeaf send = event.send();
        switch (event.behavior()) {
            case FAILED -> run.fail(send, LeafFailure.UPSTREAM_ERROR, nowNanos);
            case OVERLOADED -> run.fail(send, LeafFailure.OVERLOADED, nowNanos);
            case VERSION_GONE -> {
                run.service.serve(8);
                run.fail(send, LeafFailure.VERSION_GONE, nowNanos);
            }
            case TRUNCATED -> run.reply(send.attempt(), run.service.truncated(send), nowNanos);
            case OTHER_VERSION ->
                run.reply(
                        send.attempt(),
                        run.service.reply(send.callId(), send.indexVersion() + 1, send.shard()),
                        nowNanos);
            default -> run.reply(send, nowNanos);
        }
    }

    private static Map<Integer, String> naiveAnswers(ShardMap pinned, UpstreamBehaviors behaviors) {
        Map<Integer, String> answers = new HashMap<>();
        for (int shard = 0; shard < pinned.shardCount(); shard++) {
            for (var replica : pinned.replicas().get(shard)) {
                if (behaviors.of(replica.upstream()).isComplete()) {
                    answers.putIfAbsent(
                            shard,
                            FakeService.expectedPayload(pinned.indexVersion(), shard)
                                    .toStringUtf8());
                }
            }
        }
        return answers;
    }

    private record Event(long atNanos, QueryAction.SendLeaf send, Behavior behavior) {}

    /** How one upstream behaves for every call. */
    private enum Behavior {
        QUICK(2),
        SLOW(70),
        VERY_SLOW(400),
        DUPLICATED(3),
        FAILED(1),
        OVERLOADED(1),
        VERSION_GONE(1),
        TRUNCATED(2),
        OTHER_VERSION(2),
        LOST(0);

        private final long delayMillis;

        Behavior(long delayMillis) {
            this.delayMillis = delayMillis;
        }

        long delayNanos() {
            return delayMillis * MILLI_NANOS;
        }

        boolean isComplete() {
            return this == QUICK || this == SLOW || this == DUPLICATED;
        }
    }

    private static final class UpstreamBehaviors {
        private final SplittableRandom random;
        private final Map<String, Behavior> byUpstream = new HashMap<>();
        private final List<Behavior> choices = new ArrayList<>();

        UpstreamBehaviors(long seed) {
            this.random = new SplittableRandom(seed);
            for (int copies = 0; copies < 8; copies++) {
                choices.add(Behavior.QUICK);
            }
            choices.addAll(List.of(Behavior.values()));
        }

        Behavior of(String upstream) {
            return byUpstream.computeIfAbsent(upstream, unused -> choices.get(random.nextInt(choices.size())));
        }
    }
}
