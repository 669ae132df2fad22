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

    private final RoutedWorld world = new RoutedWorld();

    @Test
    void everyShardIsAskedOnceAndTheAnswerIsWhole() {
        ScatterQuery query = query(3, 2, 0, 0.5);
        world.carryOut(query.start(0), 0);
        assertThat(world.asked).hasSize(3);
        world.answerAll(query, MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).missing()).isEqualTo(0);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "sig2");
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void aLateShardIsHedgedAtAnotherLeafAndTheFirstAnswerCounts() {
        ScatterQuery query = query(1, 2, 1, 1);
        world.carryOut(query.start(0), 0);
        assertThat(world.wakes).containsExactly(2 * RoutedWorld.EXPECTED_NANOS);
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.asked).hasSize(2);
        assertThat(world.asked.get(1).leaf()).isNotEqualTo(world.asked.get(0).leaf());
        world.answer(query, world.asked.get(1), "hedge", 50 * MILLI);
        world.answer(query, world.asked.get(0), "first", 60 * MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).signatures()).containsExactly("hedge");
        assertThat(world.counts).contains(AttemptCounter.LATE_ANSWER);
        assertThat(world.givenUp).containsExactly(world.asked.get(0));
    }

    @Test
    void noHedgeToALeafThatIsFullUntilItHasRoom() {
        Map<Leaf.Call, Leaf> calls = new HashMap<>();
        ScatterQuery query = query(1, 2, 10, 1);
        world.carryOut(query.start(0), 0);
        world.pools.values().iterator().next().all().stream()
                .filter(leaf -> leaf != world.asked.get(0).leaf())
                .forEach(leaf -> {
                    for (int call = 0; call < 4; call++) {
                        calls.put(leaf.begin(RoutedWorld.EXPECTED_NANOS, RoutedWorld.HEDGE_NANOS), leaf);
                    }
                });
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_NO_LEAF);
        assertThat(world.asked).hasSize(1);
        long laterNanos = RoutedWorld.HEDGE_NANOS * 3 / 2;
        calls.forEach((call, leaf) -> leaf.end(call, LeafOutcome.SUCCEEDED, Optional.empty(), laterNanos));
        world.carryOut(query.wake(laterNanos), laterNanos);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void noHedgesIfTheServiceAsAWholeIsSlow() {
        ScatterQuery query = query(8, 2, 10, 1);
        world.carryOut(query.start(0), 0);
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.asked).hasSize(8);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE);
    }

    @Test
    void hedgesLeaveAReserveForRetries() {
        ScatterQuery query = query(1, 3, 10, 1);
        while (world.pools.values().iterator().next().budget().tryWithdrawAbove(35, 0)) {
            // Down to the reserve.
        }
        world.carryOut(query.start(0), 0);
        spendOne();
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
        world.fail(query, world.asked.get(0), LeafOutcome.BROKEN, 50 * MILLI);
        assertThat(world.counts).contains(AttemptCounter.RETRY);
    }

    @Test
    void anAnswerThatWaitedForMoreShardsWasNotSealedByTheClock() {
        ScatterQuery waited = query(4, 1, 0, 0.75);
        world.carryOut(waited.start(0), 0);
        world.carryOut(waited.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        for (int shard = 0; shard < 3; shard++) {
            world.answer(waited, world.asked.get(shard), "sig" + shard, RoutedWorld.GOAL_NANOS + shard * MILLI);
        }
        assertThat(world.delivered).hasSize(1);
        assertThat(waited.wasFinalizedAtGoal()).isFalse();
    }

    @Test
    void anAnswerThatWasEnoughWhenItsGoalCameWasSealedByTheClock() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        world.carryOut(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            world.answer(query, world.asked.get(shard), "sig" + shard, MILLI);
        }
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS + 20 * MILLI), RoutedWorld.GOAL_NANOS + 20 * MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(query.wasFinalizedAtGoal()).isTrue();
    }

    @Test
    void whatIsUnderWayAtTheEndIsGivenUp() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        world.carryOut(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            world.answer(query, world.asked.get(shard), "sig" + shard, MILLI);
        }
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.givenUp).containsExactly(world.asked.get(3));
    }

    @Test
    void aQueryThatCannotBeEnoughAnyMoreEndsAtOnceAndStopsItsCalls() {
        ScatterQuery query = query(4, 2, 0, 0.75);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        world.fail(query, world.asked.get(1), LeafOutcome.FAILED, 2 * MILLI);
        assertThat(world.answers()).isEqualTo(0);
        world.fail(query, world.asked.get(2), LeafOutcome.FAILED, 3 * MILLI);
        assertThat(world.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
        assertThat(world.givenUp).containsExactly(world.asked.get(3));
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void noHedgeAtALeafThatMostlyRefuses() {
        ScatterQuery query = query(1, 2, 10, 1);
        world.carryOut(query.start(0), 0);
        for (Leaf leaf : world.pools.values().iterator().next().all()) {
            if (leaf != world.asked.get(0).leaf()) {
                for (int call = 0; call < 20; call++) {
                    leaf.end(
                            leaf.begin(RoutedWorld.EXPECTED_NANOS, 0),
                            LeafOutcome.REFUSED_BUSY,
                            Optional.empty(),
                            -RoutedWorld.GOAL_NANOS);
                }
            }
        }
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.asked).hasSize(1);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_NO_LEAF);
    }

    @Test
    void noHedgeWithoutBudget() {
        ScatterQuery query = query(1, 2, 0, 1);
        world.spendDeposits();
        world.carryOut(query.start(0), 0);
        world.spendDeposits();
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.asked).hasSize(1);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
    }

    @Test
    void noMoreLeafsThanTheRouteAllows() {
        ScatterQuery query = query(1, 5, 10, 1);
        world.carryOut(query.start(0), 0);
        world.carryOut(query.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        world.fail(query, world.asked.get(0), LeafOutcome.BROKEN, 50 * MILLI);
        world.fail(query, world.asked.get(1), LeafOutcome.BROKEN, 51 * MILLI);
        assertThat(world.asked).hasSize(2);
        assertThat(world.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
    }

    @Test
    void whatIsInAtTheGoalIsDeliveredIfItIsEnough() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        world.carryOut(query.start(0), 0);
        for (int shard = 0; shard < 3; shard++) {
            world.answer(query, world.asked.get(shard), "sig" + shard, MILLI);
        }
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS - 1), RoutedWorld.GOAL_NANOS - 1);
        assertThat(world.delivered).isEmpty();
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void afterTheGoalTheAnswerLeavesAsSoonAsItIsEnough() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        world.answer(query, world.asked.get(1), "sig1", MILLI);
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.answers()).isEqualTo(0);
        world.answer(query, world.asked.get(2), "sig2", RoutedWorld.GOAL_NANOS + MILLI);
        assertThat(world.delivered).hasSize(1);
    }

    @Test
    void theDeadlineRefusesWhatIsTooLittle() {
        ScatterQuery query = query(4, 1, 0, 0.75);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        world.carryOut(query.wake(RoutedWorld.DEADLINE_NANOS), RoutedWorld.DEADLINE_NANOS);
        assertThat(world.refused).containsExactly(RefusalReason.TIME_UP);
    }

    @Test
    void aShardWithoutLeafsCostsItsShareAlone() {
        world.service("empty", 0, 0);
        ScatterQuery query = query(3, 1, 0, 0.5);
        world.carryOut(query.start(0), 0);
        world.answerAll(query, MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void withoutAnyLeafTheRefusalSaysThatItHasNotRun() {
        ScatterQuery query = query(2, 0, 0, 0.5);
        world.carryOut(query.start(0), 0);
        assertThat(world.refused).containsExactly(RefusalReason.NO_LEAF);
    }

    @Test
    void aPartWithADuplicateSignatureIsDropped() {
        ScatterQuery query = query(2, 1, 0, 0.5);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "same", MILLI);
        world.answer(query, world.asked.get(1), "same", MILLI);
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).signatures()).containsExactly("same");
        assertThat(world.delivered.get(0).missing()).isEqualTo(1);
    }

    @Test
    void nothingIsDeliveredTwiceOrAfterTheCallerLeft() {
        ScatterQuery query = query(2, 1, 0, 0.5);
        world.carryOut(query.start(0), 0);
        query.callerGone();
        world.answerAll(query, MILLI);
        world.carryOut(query.wake(RoutedWorld.DEADLINE_NANOS), RoutedWorld.DEADLINE_NANOS);
        assertThat(world.answers()).isEqualTo(0);
    }

    private ScatterQuery query(int shards, int leafs, int budget, double leastShare) {
        for (int shard = 0; shard < shards; shard++) {
            if (world.pools.size() < shards) {
                world.service("s" + shard, leafs, budget);
            }
        }
        return new ScatterQuery(
                world.target(leastShare),
                world.pools(),
                ImmutableList.of(),
                RoutedWorld.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedWorld.random());
    }

    private void spendOne() {
        world.pools.values().forEach(pool -> pool.budget().tryWithdraw(0));
    }
}
