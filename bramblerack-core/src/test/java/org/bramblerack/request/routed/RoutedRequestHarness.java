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

/** Leaves by name, and a record of the actions that a request returned. */
final class RoutedRequestHarness {
    static final long EXPECTED_NANOS = Duration.ofMillis(10).toNanos();
    static final long HEDGE_DELAY_NANOS = Duration.ofMillis(40).toNanos();
    static final long GOAL_NANOS = Duration.ofMillis(100).toNanos();
    static final long DEADLINE_NANOS = Duration.ofSeconds(1).toNanos();

    final Map<String, LeafPool> pools = new LinkedHashMap<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<StageAttempt> stages = new ArrayList<>();
    final List<MergedAnswer> partials = new ArrayList<>();
    final List<MergedAnswer> delivered = new ArrayList<>();
    final List<Attempt> abandoned = new ArrayList<>();
    final List<Attempt> leafFailures = new ArrayList<>();
    final List<Attempt> deliveredAnswers = new ArrayList<>();
    final List<RefusalReason> refused = new ArrayList<>();
    final List<AttemptCounter> counts = new ArrayList<>();
    final List<Long> wakes = new ArrayList<>();
    private final Map<Attempt, Leaf.Call> openCalls = new LinkedHashMap<>();

    /** Returns the budget of a host that has been running for more than a window. */
    static WindowedBudget budget(int extraPercent, int reserve) {
        Duration window = Duration.ofSeconds(10);
        return WindowedBudget.create(extraPercent, window, -2 * window.toNanos())
                .setReserve(reserve, reserve);
    }

    /** Adds a service with leaves named after it: {@code s-0}, {@code s-1} and so on. */
    LeafPool addService(String name, int leafCount, int budget) {
        LeafPool pool = new LeafPool(name, budget(0, budget));
        for (int number = 0; number < leafCount; number++) {
            pool.add(new Leaf(name + "-" + number, name, "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ZERO, 0));
        }
        pools.put(name, pool);
        return pool;
    }

    static RequestBounds bounds(int maxAttempts) {
        return new RequestBounds(GOAL_NANOS, DEADLINE_NANOS, HEDGE_DELAY_NANOS, EXPECTED_NANOS, maxAttempts);
    }

    static SplittableRandom random() {
        return new SplittableRandom(1);
    }

    /** Records actions as a sender would carry them out. */
    void execute(List<RoutedAction> actions, long nowNanos) {
        for (RoutedAction action : actions) {
            if (action instanceof RoutedAction.CallLeaf call) {
                attempts.add(call.attempt());
                openCalls.put(call.attempt(), call.attempt().leaf().begin(EXPECTED_NANOS, nowNanos));
            } else if (action instanceof RoutedAction.CallStage call) {
                stages.add(call.stage());
            } else if (action instanceof RoutedAction.AbandonAttempt abandon) {
                abandoned.add(abandon.attempt());
            } else if (action instanceof RoutedAction.DeliverMerged deliver) {
                delivered.add(deliver.answer());
            } else if (action instanceof RoutedAction.DeliverPartial deliver) {
                partials.add(deliver.partial());
            } else if (action instanceof RoutedAction.DeliverAnswer deliver) {
                deliveredAnswers.add(deliver.attempt());
            } else if (action instanceof RoutedAction.Refuse refuse) {
                refused.add(refuse.reason());
            } else if (action instanceof RoutedAction.Count count) {
                counts.add(count.counter());
            } else if (action instanceof RoutedAction.RecordLeafFailure failure) {
                failure.attempt().leaf().recordFailure(nowNanos);
                leafFailures.add(failure.attempt());
            } else if (action instanceof RoutedAction.Wake wake) {
                wakes.add(wake.atNanos());
            }
        }
    }

    /** Ends the call of an attempt, as a sender does before it notifies the request. */
    void end(Attempt attempt, LeafOutcome outcome, long nowNanos) {
        Leaf.Call call = openCalls.remove(attempt);
        if (call != null) {
            attempt.leaf().end(call, outcome, Optional.empty(), nowNanos);
        }
    }

    static PartReply part(String signature, int value) {
        byte[] record = new byte[TopRecords.RECORD_BYTES];
        record[0] = (byte) value;
        return new PartReply(signature, ByteString.copyFrom(record));
    }

    int outcomeCount() {
        return delivered.size() + deliveredAnswers.size() + refused.size();
    }

    /** Returns the target of a query over all services. */
    RouteTarget.Scatter target(double minCoverage) {
        return new RouteTarget.Scatter(ImmutableList.copyOf(pools.keySet()), 5, minCoverage);
    }

    ImmutableList<PermittedLeaves> pools() {
        return pools.values().stream()
                .map(pool -> pool.permitted(HomeRegions.ANY))
                .collect(ImmutableList.toImmutableList());
    }

    /** Spends the whole budget of every service. */
    void exhaustBudgets() {
        for (LeafPool pool : pools.values()) {
            while (pool.budget().tryWithdraw(0)) {
                // Withdraws until the budget is empty.
            }
        }
    }

    /** Answers every attempt so far, with a signature that contains the shard's number. */
    void answerAll(ScatterQuery query, long nowNanos) {
        for (Attempt attempt : ImmutableList.copyOf(attempts)) {
            String service = attempt.leaf().service();
            answer(query, attempt, "sig" + service.substring(1), nowNanos);
        }
    }

    void answer(ScatterQuery query, Attempt attempt, String signature, long nowNanos) {
        end(attempt, LeafOutcome.SUCCEEDED, nowNanos);
        execute(query.onAnswer(attempt, part(signature, 1), nowNanos), nowNanos);
    }

    void fail(ScatterQuery query, Attempt attempt, LeafOutcome outcome, long nowNanos) {
        end(attempt, outcome, nowNanos);
        execute(query.onFailure(attempt, outcome, nowNanos), nowNanos);
    }
}
