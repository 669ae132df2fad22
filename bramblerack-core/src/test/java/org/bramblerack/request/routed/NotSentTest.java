package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.version.routing.RouteTarget;
import org.junit.jupiter.api.Test;

/**
 * What no leaf has seen costs no budget: while a part of the fleet is cut off from control and a new index comes into
 * force, holders are asked for leafs that they do not know yet.
 */
final class NotSentTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final RoutedWorld world = new RoutedWorld();
    private final StageAttempt stage = new StageAttempt("holder", ImmutableList.of(1), RoutedWorld.DEADLINE_NANOS);

    @Test
    void anAttemptAfterOneThatWasNotSentIsNotPaidFor() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        fail(query, LeafOutcome.UNREACHABLE);
        assertThat(world.asked).hasSize(3);
    }

    @Test
    void anAttemptAfterARefusalOfALeafIs() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        fail(query, LeafOutcome.REFUSED_BUSY);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void shardsThatAHolderSentToNoLeafAreAskedHereAtNoCost() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of(stage));
        assertThat(world.asked).hasSize(1);
        StageReply reply =
                new StageReply(ImmutableList.of(), ImmutableList.of(), ImmutableList.of(1), ByteString.EMPTY);
        world.carryOut(query.onStageReply(stage, reply, MILLI), MILLI);
        assertThat(world.asked).hasSize(2);
        assertThat(world.asked.get(1).leaf().service()).isEqualTo("s1");
    }

    @Test
    void aHolderTellsWhichShardsItSentToNoLeaf() {
        world.service("empty", 0, 10);
        ScatterQuery query = query(10, ScatterQuery.Delivery.INCREMENTAL, ImmutableList.of());
        for (int number = 0; number < 2; number++) {
            Attempt attempt = world.asked.get(number);
            world.end(attempt, LeafOutcome.SUCCEEDED, MILLI);
            world.carryOut(query.onAnswer(attempt, RoutedWorld.part("sig" + number, 1), MILLI), MILLI);
        }
        assertThat(world.delivered.get(0).notSent()).containsExactly(0);
        assertThat(world.delivered.get(0).shards()).containsExactly(1, 2);
    }

    /** All connections to the leafs are in use until the caller's time is up. */
    @Test
    void aQueryWhoseCallsWereGivenUpBeforeTheyWereSentHasNotRun() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        world.carryOut(query.wake(RoutedWorld.DEADLINE_NANOS), RoutedWorld.DEADLINE_NANOS);
        assertThat(world.refused).containsExactly(RefusalReason.TIME_UP);
        world.givenUp.get(0).markNeverSent();
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP)).isEqualTo(RefusalReason.TIME_UP);
        world.givenUp.get(1).markNeverSent();
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP).isNotRun()).isTrue();
    }

    /** The link to the other host did not come up before the caller's time was up. */
    @Test
    void aQueryWhoseCallToAnotherHostWasNeverSentHasNotRun() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of(stage));
        world.carryOut(query.wake(RoutedWorld.DEADLINE_NANOS), RoutedWorld.DEADLINE_NANOS);
        world.givenUp.forEach(Attempt::markNeverSent);
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP)).isEqualTo(RefusalReason.TIME_UP);
        query.onStageNeverSent(stage);
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP).isNotRun()).isTrue();
    }

    private ScatterQuery query(int budget, ScatterQuery.Delivery delivery, ImmutableList<StageAttempt> stages) {
        world.service("s0", 2, budget);
        world.service("s1", 2, budget);
        ScatterQuery query = new ScatterQuery(
                new RouteTarget.Scatter(ImmutableList.copyOf(world.pools.keySet()), 5, 0),
                world.pools(),
                stages,
                RoutedWorld.bounds(2),
                delivery,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        return query;
    }

    private void fail(ScatterQuery query, LeafOutcome outcome) {
        Attempt attempt = world.asked.get(0);
        world.end(attempt, outcome, MILLI);
        world.carryOut(query.onFailure(attempt, outcome, MILLI), MILLI);
    }
}
