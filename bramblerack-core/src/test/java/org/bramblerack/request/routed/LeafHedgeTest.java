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

/** Hedges by the usual time of each leaf, in queries with paused and with slow leaves. */
final class LeafHedgeTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long FAR_GOAL = 272 * MILLI;
    private static final long NEAR_GOAL = 108 * MILLI;
    private static final long EXPECTED = RoutedRequestHarness.EXPECTED_NANOS;
    private static final long ROUTE_DELAY = 60 * MILLI;

    private final RoutedRequestHarness harness = new RoutedRequestHarness();

    @Test
    void aPausedLeafIsHedgedBeforeTheRoutesHedgeDelay() {
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED - MILLI);
        assertThat(harness.attempts).hasSize(1);
        wake(query, 3 * EXPECTED);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void hedgesSoonerIfThePauseWouldMissTheGoal() {
        ScatterQuery query = query(1, 2, 10, NEAR_GOAL);
        wake(query, 2 * EXPECTED);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void aLeafKnownToBeSlowIsHedgedLater() {
        harness.addService("s0", 2, 10);
        for (Leaf leaf : leaves()) {
            for (int call = 0; call < 30; call++) {
                leaf.end(leaf.begin(EXPECTED, -3 * EXPECTED / 2), LeafOutcome.SUCCEEDED, Optional.empty(), 0);
            }
        }
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED);
        assertThat(harness.attempts).hasSize(1);
        wake(query, 5 * EXPECTED);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void noEarlyHedgeToALeafSlowerThanTheRemainingPause() {
        harness.addService("s0", 2, 10);
        ScatterQuery query = query(1, 2, 10, FAR_GOAL);
        Leaf other = leaves().stream()
                .filter(leaf -> !leaf.equals(harness.attempts.get(0).leaf()))
                .findFirst()
                .orElseThrow();
        for (int call = 0; call < 3; call++) {
            other.begin(100 * EXPECTED, 0);
        }
        for (int call = 0; call < 30; call++) {
            other.end(other.begin(EXPECTED, -9 * EXPECTED), LeafOutcome.SUCCEEDED, Optional.empty(), 0);
        }
        wake(query, 3 * EXPECTED);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_NO_GAIN);
        wake(query, ROUTE_DELAY);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void aDeniedEarlyHedgeIsReconsideredAtTheRoutesHedgeDelay() {
        ScatterQuery query = query(8, 2, 10, FAR_GOAL);
        wake(query, 3 * EXPECTED);
        assertThat(harness.attempts).hasSize(8);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE);
        for (int shard = 0; shard < 6; shard++) {
            harness.answer(query, harness.attempts.get(shard), "sig" + shard, 4 * EXPECTED);
        }
        wake(query, ROUTE_DELAY - MILLI);
        assertThat(harness.attempts).hasSize(8);
        wake(query, ROUTE_DELAY);
        assertThat(harness.attempts).hasSize(10);
    }

    @Test
    void anEarlyHedgeNeedsBudget() {
        ScatterQuery query = query(1, 2, 0, NEAR_GOAL);
        harness.exhaustBudgets();
        wake(query, 2 * EXPECTED);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.counts).contains(AttemptCounter.HEDGE_DENIED_BUDGET);
    }

    private Collection<Leaf> leaves() {
        return harness.pools.values().iterator().next().all();
    }

    private void wake(ScatterQuery query, long nowNanos) {
        harness.execute(query.wake(nowNanos), nowNanos);
    }

    private ScatterQuery query(int shardCount, int leafCount, int budget, long goalNanos) {
        for (int shard = harness.pools.size(); shard < shardCount; shard++) {
            harness.addService("s" + shard, leafCount, budget);
        }
        ScatterQuery query = new ScatterQuery(
                harness.target(1),
                harness.pools(),
                ImmutableList.of(),
                new RequestBounds(goalNanos, RoutedRequestHarness.DEADLINE_NANOS, ROUTE_DELAY, EXPECTED, 2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        return query;
    }
}
