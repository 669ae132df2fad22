package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

/** Hedges by leaf and moment: the load is queries to many shards, some of whose leafs pause, others just being slow. */
final class LeafHedgeTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long FAR_GOAL = 272 * MILLI;
    private static final long NEAR_GOAL = 108 * MILLI;
    private static final long EXPECTED = RoutedWorld.EXPECTED_NANOS;
    private static final long ROUTE_DELAY = 60 * MILLI;

    private final RoutedWorld world = new RoutedWorld();

    @Test
    void aPauseIsHedgedBeforeTheRoutesCallsAreLate() {
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED - MILLI);
        assertThat(world.asked).hasSize(1);
        wake(query, 3 * EXPECTED);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void whereTheRestOfAPauseWouldMissTheGoalTheHedgeComesSooner() {
        ScatterQuery query = query(1, 2, 10, NEAR_GOAL);
        wake(query, 2 * EXPECTED);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void aLeafKnownToBeSlowIsGivenItsTime() {
        world.service("s0", 2, 10);
        for (Leaf leaf : leafs()) {
            for (int call = 0; call < 30; call++) {
                leaf.end(leaf.begin(EXPECTED, -3 * EXPECTED / 2), LeafOutcome.SUCCEEDED, Optional.empty(), 0);
            }
        }
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED);
        assertThat(world.asked).hasSize(1);
        wake(query, 5 * EXPECTED);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void noEarlyHedgeToALeafThatTakesLongerThanTheRestOfAPause() {
        world.service("s0", 2, 10);
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        Leaf other = leafs().stream()
                .filter(leaf -> !leaf.equals(world.asked.get(0).leaf()))
                .findFirst()
                .orElseThrow();
        for (int call = 0; call < 3; call++) {
            other.begin(100 * EXPECTED, 0);
        }
        for (int call = 0; call < 30; call++) {
            other.end(other.begin(EXPECTED, -9 * EXPECTED), LeafOutcome.SUCCEEDED, Optional.empty(), 0);
        }
        wake(query, 3 * EXPECTED);
        assertThat(world.asked).hasSize(1);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_NO_GAIN);
        wake(query, ROUTE_DELAY);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void anEarlyHedgeThatIsDeniedIsConsideredAgainWhenTheRoutesCallsAreLate() {
        ScatterQuery query = query(8, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED);
        assertThat(world.asked).hasSize(8);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE);
        for (int shard = 0; shard < 6; shard++) {
            world.answer(query, world.asked.get(shard), "sig" + shard, 4 * EXPECTED);
        }
        wake(query, ROUTE_DELAY - MILLI);
        assertThat(world.asked).hasSize(8);
        wake(query, ROUTE_DELAY);
        assertThat(world.asked).hasSize(10);
    }

    @Test
    void anEarlyHedgeIsPaidForLikeAnyOther() {
        ScatterQuery query = query(1, 2, 0, NEAR_GOAL);
        world.spendDeposits();
        wake(query, 2 * EXPECTED);
        assertThat(world.asked).hasSize(1);
        assertThat(world.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
    }

    private Collection<Leaf> leafs() {
        return world.pools.values().iterator().next().all();
    }

    private void wake(ScatterQuery query, long nowNanos) {
        world.carryOut(query.wake(nowNanos), nowNanos);
    }

    private ScatterQuery query(int shards, int leafs, int budget, long goalNanos) {
        for (int shard = world.pools.size(); shard < shards; shard++) {
            world.service("s" + shard, leafs, budget);
        }
        ScatterQuery query = new ScatterQuery(
                world.target(1),
                world.pools(),
                ImmutableList.of(),
                new RequestBounds(goalNanos, RoutedWorld.DEADLINE_NANOS, ROUTE_DELAY, EXPECTED, 2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        return query;
    }
}
