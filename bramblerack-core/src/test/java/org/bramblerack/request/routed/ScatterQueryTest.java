package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

final class ScatterQueryTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final RoutedRequestHarness harness = new RoutedRequestHarness();

    @Test
    void everyShardIsAskedOnceAndTheAnswerIsWhole() {
        ScatterQuery query = query(3, 2, 0, 0.5);
        harness.execute(query.start(0), 0);
        assertThat(harness.attempts).hasSize(3);
        harness.answerAll(query, MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(0);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "sig2");
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void aLateShardIsHedgedAtAnotherLeafAndTheFirstAnswerCounts() {
        ScatterQuery query = query(1, 2, 1, 1);
        harness.execute(query.start(0), 0);
        assertThat(harness.wakes).containsExactly(2 * RoutedRequestHarness.EXPECTED_NANOS);
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.attempts.get(1).leaf())
                .isNotEqualTo(harness.attempts.get(0).leaf());
        harness.answer(query, harness.attempts.get(1), "hedge", 50 * MILLI);
        harness.answer(query, harness.attempts.get(0), "first", 60 * MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("hedge");
        assertThat(harness.counts).contains(AttemptCounter.LATE_ANSWER);
        assertThat(harness.abandoned).containsExactly(harness.attempts.get(0));
    }

    /** Guards against a leaf that fails queries with a client error keeping its share of them. */
    @Test
    void aRejectionIsAFailureOfTheLeafOnceAnotherAcceptsTheQuery() {
        ScatterQuery query = query(2, 2, 5, 1);
        harness.execute(query.start(0), 0);
        Attempt rejected = harness.attempts.get(0);
        harness.fail(query, rejected, LeafOutcome.REJECTED, MILLI);
        assertThat(harness.leafFailures).isEmpty();
        assertThat(harness.attempts).hasSize(3);
        harness.answer(query, harness.attempts.get(2), "sig0", 2 * MILLI);
        assertThat(harness.leafFailures).containsExactly(rejected);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.REJECTED, 3 * MILLI);
        assertThat(harness.leafFailures).containsExactly(rejected, harness.attempts.get(1));
    }

    @Test
    void aQueryThatAllLeavesRejectIsAFailureOfNone() {
        ScatterQuery query = query(2, 2, 5, 1);
        harness.execute(query.start(0), 0);
        for (int attempt = 0; attempt < harness.attempts.size(); attempt++) {
            harness.fail(query, harness.attempts.get(attempt), LeafOutcome.REJECTED, MILLI);
        }
        assertThat(harness.refused).hasSize(1);
        assertThat(harness.leafFailures).isEmpty();
    }

    /** Guards against a leaf that repeats the signature of another answer counting as sound. */
    @Test
    void aSignatureThatIsKnownAlreadyIsAFailureOfTheLeaf() {
        ScatterQuery query = query(2, 1, 0, 1);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig", MILLI);
        harness.answer(query, harness.attempts.get(1), "sig", MILLI);
        assertThat(harness.delivered).isEmpty();
        assertThat(harness.leafFailures).containsExactly(harness.attempts.get(1));
    }

    @Test
    void noHedgeToAFullLeafUntilItHasCapacity() {
        Map<Leaf.Call, Leaf> calls = new HashMap<>();
        ScatterQuery query = query(1, 2, 10, 1);
        harness.execute(query.start(0), 0);
        harness.pools.values().iterator().next().all().stream()
                .filter(leaf -> leaf != harness.attempts.get(0).leaf())
                .forEach(leaf -> {
                    for (int call = 0; call < 4; call++) {
                        calls.put(
                                leaf.begin(RoutedRequestHarness.EXPECTED_NANOS, RoutedRequestHarness.HEDGE_DELAY_NANOS),
                                leaf);
                    }
                });
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_NO_LEAF);
        assertThat(harness.attempts).hasSize(1);
        long laterNanos = RoutedRequestHarness.HEDGE_DELAY_NANOS * 3 / 2;
        calls.forEach((call, leaf) -> leaf.end(call, LeafOutcome.SUCCEEDED, Optional.empty(), laterNanos));
        harness.execute(query.wake(laterNanos), laterNanos);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void noHedgesIfTheServiceAsAWholeIsSlow() {
        ScatterQuery query = query(8, 2, 10, 1);
        harness.execute(query.start(0), 0);
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.attempts).hasSize(8);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE);
    }

    @Test
    void hedgesLeaveAReserveForRetries() {
        ScatterQuery query = query(1, 3, 10, 1);
        while (harness.pools.values().iterator().next().budget().tryWithdrawAbove(35, 0)) {
            // Withdraws down to the reserve for retries.
        }
        harness.execute(query.start(0), 0);
        withdrawOne();
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
        harness.fail(query, harness.attempts.get(0), LeafOutcome.BROKEN, 50 * MILLI);
        assertThat(harness.counts).contains(AttemptCounter.RETRY);
    }

    @Test
    void anAnswerThatWaitedForMoreShardsIsNotFinalizedAtTheGoal() {
        ScatterQuery waited = query(4, 1, 0, 0.75);
        harness.execute(waited.start(0), 0);
        harness.execute(waited.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        for (int shard = 0; shard < 3; shard++) {
            harness.answer(
                    waited,
                    harness.attempts.get(shard),
                    "sig" + shard,
                    RoutedRequestHarness.GOAL_NANOS + shard * MILLI);
        }
        assertThat(harness.delivered).hasSize(1);
        assertThat(waited.wasFinalizedAtGoal()).isFalse();
    }

    @Test
    void anAnswerWithEnoughShardsIsFinalizedAtTheGoal() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        harness.execute(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            harness.answer(query, harness.attempts.get(shard), "sig" + shard, MILLI);
        }
        harness.execute(
                query.wake(RoutedRequestHarness.GOAL_NANOS + 20 * MILLI), RoutedRequestHarness.GOAL_NANOS + 20 * MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(query.wasFinalizedAtGoal()).isTrue();
    }

    @Test
    void attemptsInFlightAtTheEndAreAbandoned() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        harness.execute(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            harness.answer(query, harness.attempts.get(shard), "sig" + shard, MILLI);
        }
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.abandoned).containsExactly(harness.attempts.get(3));
    }

    @Test
    void aQueryThatCannotGetEnoughShardsEndsAtOnceAndAbandonsItsCalls() {
        ScatterQuery query = query(4, 2, 0, 0.75);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.FAILED, 2 * MILLI);
        assertThat(harness.outcomeCount()).isEqualTo(0);
        harness.fail(query, harness.attempts.get(2), LeafOutcome.FAILED, 3 * MILLI);
        assertThat(harness.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
        assertThat(harness.abandoned).containsExactly(harness.attempts.get(3));
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void noHedgeAtALeafThatMostlyRefuses() {
        ScatterQuery query = query(1, 2, 10, 1);
        harness.execute(query.start(0), 0);
        for (Leaf leaf : harness.pools.values().iterator().next().all()) {
            if (leaf != harness.attempts.get(0).leaf()) {
                for (int call = 0; call < 20; call++) {
                    leaf.end(
                            leaf.begin(RoutedRequestHarness.EXPECTED_NANOS, 0),
                            LeafOutcome.REFUSED_BUSY,
                            Optional.empty(),
                            -RoutedRequestHarness.GOAL_NANOS);
                }
            }
        }
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_NO_LEAF);
    }

    @Test
    void noHedgeWithoutBudget() {
        ScatterQuery query = query(1, 2, 0, 1);
        harness.exhaustBudgets();
        harness.execute(query.start(0), 0);
        harness.exhaustBudgets();
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
    }

    @Test
    void noMoreAttemptsThanTheRouteAllows() {
        ScatterQuery query = query(1, 5, 10, 1);
        harness.execute(query.start(0), 0);
        harness.execute(query.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        harness.fail(query, harness.attempts.get(0), LeafOutcome.BROKEN, 50 * MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.BROKEN, 51 * MILLI);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
    }

    @Test
    void enoughShardsAreDeliveredAtTheGoal() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        harness.execute(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            harness.answer(query, harness.attempts.get(shard), "sig" + shard, MILLI);
        }
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS - 1), RoutedRequestHarness.GOAL_NANOS - 1);
        assertThat(harness.delivered).isEmpty();
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void afterTheGoalTheAnswerIsDeliveredOnceItHasEnoughShards() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.answer(query, harness.attempts.get(1), "sig1", MILLI);
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.outcomeCount()).isEqualTo(0);
        harness.answer(query, harness.attempts.get(2), "sig2", RoutedRequestHarness.GOAL_NANOS + MILLI);
        assertThat(harness.delivered).hasSize(1);
    }

    @Test
    void atTheDeadlineTooFewShardsAreRefused() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.execute(query.wake(RoutedRequestHarness.DEADLINE_NANOS), RoutedRequestHarness.DEADLINE_NANOS);
        assertThat(harness.refused).containsExactly(RefusalReason.TIME_UP);
    }

    @Test
    void aShardWithoutLeavesIsMissingFromTheAnswer() {
        harness.addService("empty", 0, 0);
        ScatterQuery query = query(3, 1, 0, 0.5);
        harness.execute(query.start(0), 0);
        harness.answerAll(query, MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void withoutAnyLeafTheQueryIsRefusedAsNotRun() {
        ScatterQuery query = query(2, 0, 0, 0.5);
        harness.execute(query.start(0), 0);
        assertThat(harness.refused).containsExactly(RefusalReason.NO_LEAF);
    }

    @Test
    void aPartWithADuplicateSignatureIsDropped() {
        ScatterQuery query = query(2, 1, 0, 0.5);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "same", MILLI);
        harness.answer(query, harness.attempts.get(1), "same", MILLI);
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("same");
        assertThat(harness.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void nothingIsDeliveredTwiceOrAfterTheCallerLeft() {
        ScatterQuery query = query(2, 1, 0, 0.5);
        harness.execute(query.start(0), 0);
        query.callerGone();
        harness.answerAll(query, MILLI);
        harness.execute(query.wake(RoutedRequestHarness.DEADLINE_NANOS), RoutedRequestHarness.DEADLINE_NANOS);
        assertThat(harness.outcomeCount()).isEqualTo(0);
    }

    private ScatterQuery query(int shardCount, int leafCount, int budget, double minCoverage) {
        for (int shard = 0; shard < shardCount; shard++) {
            if (harness.pools.size() < shardCount) {
                harness.addService("s" + shard, leafCount, budget);
            }
        }
        return new ScatterQuery(
                harness.target(minCoverage),
                harness.pools(),
                ImmutableList.of(),
                RoutedRequestHarness.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
    }

    private void withdrawOne() {
        harness.pools.values().forEach(pool -> pool.budget().tryWithdraw(0));
    }
}
