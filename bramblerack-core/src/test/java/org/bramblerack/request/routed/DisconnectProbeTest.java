package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

/** Calls of one query that break on many shards in one moment, by a request that ends leafs or by lost connections. */
final class DisconnectProbeTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 20;

    private final RoutedWorld world = new RoutedWorld();

    @Test
    void aQueryThatEndsItsLeafsEndsOneSecondLeafOnly() {
        ScatterQuery query = start();
        List<Attempt> first = breakAll(query);
        assertThat(world.asked).hasSize(SHARDS + 1);
        world.fail(query, world.asked.get(SHARDS), LeafOutcome.BROKEN, 2 * MILLI);
        assertThat(world.asked).hasSize(SHARDS + 1);
        assertThat(world.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
        assertThat(first).hasSize(SHARDS);
    }

    @Test
    void aQueryWhoseConnectionsWereLostIsAskedAgainOnAllShardsOnceOneLeafHasAnswered() {
        ScatterQuery query = start();
        breakAll(query);
        world.answer(query, world.asked.get(SHARDS), "probe", 2 * MILLI);
        assertThat(world.asked).hasSize(2 * SHARDS);
        for (int number = SHARDS + 1; number < 2 * SHARDS; number++) {
            world.answer(query, world.asked.get(number), "sig" + number, 3 * MILLI);
        }
        assertThat(world.delivered.get(0).missing()).isEqualTo(0);
    }

    @Test
    void shardsAskAgainAtOnceIfALeafOfAnyShardHasAnswered() {
        ScatterQuery query = start();
        world.answer(query, world.asked.get(0), "sig", MILLI);
        for (Attempt attempt : List.copyOf(world.asked.subList(1, SHARDS))) {
            world.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        assertThat(world.asked).hasSize(2 * SHARDS - 1);
    }

    /** Half of the leafs end for a reason of their own while the others are still at work. */
    @Test
    void afterASecondBreakShardsWaitForTheAnswersThatMayStillCome() {
        ScatterQuery query = start();
        for (Attempt attempt : List.copyOf(world.asked.subList(0, SHARDS / 2))) {
            world.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        world.fail(query, world.asked.get(SHARDS), LeafOutcome.BROKEN, 2 * MILLI);
        assertThat(world.asked).hasSize(SHARDS + 1);
        assertThat(world.refused).isEmpty();
        world.answer(query, world.asked.get(SHARDS - 1), "sig", 3 * MILLI);
        // All but the one whose attempts are spent.
        assertThat(world.asked).hasSize(SHARDS + 1 + SHARDS / 2 - 1);
    }

    @Test
    void anotherShardAsksIfTheOneThatWasToAskMayNot() {
        ScatterQuery query = start();
        breakAll(query);
        world.fail(query, world.asked.get(SHARDS), LeafOutcome.BARRED, 2 * MILLI);
        assertThat(world.asked).hasSize(SHARDS + 2);
    }

    private ScatterQuery start() {
        for (int shard = 0; shard < SHARDS; shard++) {
            world.service("s" + shard, 3, 10);
        }
        ScatterQuery query = new ScatterQuery(
                world.target(0.5),
                world.pools(),
                ImmutableList.of(),
                RoutedWorld.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        return query;
    }

    private List<Attempt> breakAll(ScatterQuery query) {
        List<Attempt> first = List.copyOf(world.asked);
        for (Attempt attempt : first) {
            world.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        return first;
    }
}
