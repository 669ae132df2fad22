package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bramblerack.process.WindowedBudget;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RouteTarget;

/** Leafs by name and a record of what a request wanted done. */
final class RoutedWorld {
    static final long EXPECTED_NANOS = Duration.ofMillis(10).toNanos();
    static final long HEDGE_NANOS = Duration.ofMillis(40).toNanos();
    static final long GOAL_NANOS = Duration.ofMillis(100).toNanos();
    static final long DEADLINE_NANOS = Duration.ofSeconds(1).toNanos();

    final Map<String, LeafPool> pools = new LinkedHashMap<>();
    final List<Attempt> asked = new ArrayList<>();
    final List<StageAttempt> stages = new ArrayList<>();
    final List<MergedAnswer> pieces = new ArrayList<>();
    final List<MergedAnswer> delivered = new ArrayList<>();
    final List<Attempt> givenUp = new ArrayList<>();
    final List<Attempt> passed = new ArrayList<>();
    final List<RefusalReason> refused = new ArrayList<>();
    final List<AttemptCounter> counts = new ArrayList<>();
    final List<Long> wakes = new ArrayList<>();
    private final Map<Attempt, Leaf.Call> calls = new LinkedHashMap<>();

    /** Returns a budget of a host that has been up for long. */
    static WindowedBudget shareOf(int extraPercent, int reserve) {
        Duration window = Duration.ofSeconds(10);
        return WindowedBudget.create(extraPercent, window, -2 * window.toNanos())
                .setReserve(reserve, reserve);
    }

    /** Adds a service with leafs named after it: {@code s-0}, {@code s-1} and so on. */
    LeafPool service(String name, int leafs, int budget) {
        LeafPool pool = new LeafPool(name, shareOf(0, budget));
        for (int number = 0; number < leafs; number++) {
            pool.add(new Leaf(name + "-" + number, name, "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ZERO, 0));
        }
        pools.put(name, pool);
        return pool;
    }

    static RequestBounds bounds(int attempts) {
        return new RequestBounds(GOAL_NANOS, DEADLINE_NANOS, HEDGE_NANOS, EXPECTED_NANOS, attempts);
    }

    static SplittableRandom random() {
        return new SplittableRandom(1);
    }

    /** Notes actions as a sender would carry them out. */
    void carryOut(List<RoutedAction> actions, long nowNanos) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf ask) {
                asked.add(ask.attempt());
                calls.put(ask.attempt(), ask.attempt().leaf().begin(EXPECTED_NANOS, nowNanos));
            } else if (action instanceof RoutedAction.CallStage ask) {
                stages.add(ask.stage());
            } else if (action instanceof RoutedAction.AbandonAttempt giveUp) {
                givenUp.add(giveUp.attempt());
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                delivered.add(deliver.answer());
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                pieces.add(deliver.partial());
            } else if (action instanceof RoutedAction.DeliverAnswer deliver) {
                passed.add(deliver.attempt());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                refused.add(refuse.reason());
            } else if (action instanceof RoutedAction.Count count) {
                counts.add(count.counter());
            } else if (action instanceof RoutedAction.Wake wake) {
                wakes.add(wake.atNanos());
            }
        }
    }

    /** Ends the call of an attempt, as a sender does before it tells the request. */
    void end(Attempt attempt, LeafOutcome outcome, long nowNanos) {
        Leaf.Call call = calls.remove(attempt);
        if (call != null) {
            attempt.leaf().end(call, outcome, Optional.empty(), nowNanos);
        }
    }

    static PartReply part(String signature, int value) {
        byte[] record = new byte[TopRecords.RECORD_BYTES];
        record[0] = (byte) value;
        return new PartReply(signature, ByteString.copyFrom(record));
    }

    int answers() {
        return delivered.size() + passed.size() + refused.size();
    }

    /** Returns the target of a query over all services. */
    RouteTarget.Scatter target(double leastShare) {
        return new RouteTarget.Scatter(ImmutableList.copyOf(pools.keySet()), 5, leastShare);
    }

    ImmutableList<PermittedLeaves> pools() {
        return pools.values().stream()
                .map(pool -> pool.permitted(HomeRegions.ANY))
                .collect(ImmutableList.toImmutableList());
    }

    /** Spends the whole budget of every service. */
    void spendDeposits() {
        for (LeafPool pool : pools.values()) {
            while (pool.budget().tryWithdraw(0)) {
                // Until nothing is left.
            }
        }
    }

    /** Answers everything that was asked so far, with a signature by the shard's number. */
    void answerAll(ScatterQuery query, long nowNanos) {
        for (Attempt attempt : ImmutableList.copyOf(asked)) {
            String service = attempt.leaf().service();
            answer(query, attempt, "sig" + service.substring(1), nowNanos);
        }
    }

    /** Brings the answer of one attempt. */
    void answer(ScatterQuery query, Attempt attempt, String signature, long nowNanos) {
        end(attempt, LeafOutcome.SUCCEEDED, nowNanos);
        carryOut(query.onAnswer(attempt, part(signature, 1), nowNanos), nowNanos);
    }

    /** Ends one attempt without an answer. */
    void fail(ScatterQuery query, Attempt attempt, LeafOutcome outcome, long nowNanos) {
        end(attempt, outcome, nowNanos);
        carryOut(query.onFailure(attempt, outcome, nowNanos), nowNanos);
    }
}
