package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.version.routing.RouteTarget;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A query on behalf of another host, one of whose shards is left to a third host, as a holder does whose own leaf is
 * dark or slow.
 */
final class ForwardedQueryTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long AFTER_GOAL = RoutedWorld.GOAL_NANOS + MILLI;

    private final RoutedWorld world = new RoutedWorld();
    private final StageAttempt stage = new StageAttempt("third", ImmutableList.of(1), RoutedWorld.DEADLINE_NANOS);
    private ScatterQuery query;

    @BeforeEach
    void start() {
        world.service("s0", 2, 10);
        world.service("s1", 2, 10);
        RouteTarget.Scatter target = new RouteTarget.Scatter(ImmutableList.copyOf(world.pools.keySet()), 5, 0);
        query = new ScatterQuery(
                target,
                world.pools(),
                ImmutableList.of(stage),
                RoutedWorld.bounds(2),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        assertThat(world.asked).hasSize(1);
        world.carryOut(query.onAnswer(world.asked.get(0), part("sig0"), MILLI), MILLI);
    }

    @Test
    void whatTheThirdHostBringsAfterTheGoalIsSentOn() {
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.pieces.get(0).signatures()).containsExactly("sig0");
        world.carryOut(query.onStageReply(stage, reply("sig1"), AFTER_GOAL), AFTER_GOAL);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig1");
    }

    @Test
    void afterTheGoalAThirdHostThatFailsIsNotReplaced() {
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        world.carryOut(query.onStageFailure(stage, false, AFTER_GOAL), AFTER_GOAL);
        assertThat(world.asked).hasSize(1);
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void beforeTheGoalItIs() {
        world.carryOut(query.onStageFailure(stage, true, 2 * MILLI), 2 * MILLI);
        assertThat(world.asked).hasSize(2);
    }

    /** The host that asked must know: it would make a third attempt otherwise. */
    @Test
    void aShardThatTheThirdHostAskedTwiceIsToldAsSuch() {
        assertThat(query.hedgedShards()).isEmpty();
        query.onStageProgress(stage, ImmutableList.of(1));
        assertThat(query.hedgedShards()).containsExactly(1);
    }

    @Test
    void aShardThatWasAskedThereAndHereIsToldAsAskedTwice() {
        world.carryOut(query.onStageFailure(stage, false, 2 * MILLI), 2 * MILLI);
        assertThat(query.hedgedShards()).containsExactly(1);
    }

    private static PartReply part(String signature) {
        return new PartReply(signature, ByteString.copyFrom(new byte[TopRecords.RECORD_BYTES]));
    }

    private static StageReply reply(String signature) {
        return new StageReply(
                ImmutableList.of(1),
                ImmutableList.of(signature),
                ByteString.copyFrom(new byte[TopRecords.RECORD_BYTES]));
    }
}
