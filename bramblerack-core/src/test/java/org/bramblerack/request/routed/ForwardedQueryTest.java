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
 * A query on behalf of another host, with one shard delegated to a third host because the holder's own leaf is
 * unreachable or slow.
 */
final class ForwardedQueryTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long AFTER_GOAL = RoutedRequestHarness.GOAL_NANOS + MILLI;

    private final RoutedRequestHarness harness = new RoutedRequestHarness();
    private final StageAttempt stage =
            new StageAttempt("third", ImmutableList.of(1), RoutedRequestHarness.DEADLINE_NANOS);
    private ScatterQuery query;

    @BeforeEach
    void start() {
        harness.addService("s0", 2, 10);
        harness.addService("s1", 2, 10);
        RouteTarget.Scatter target = new RouteTarget.Scatter(ImmutableList.copyOf(harness.pools.keySet()), 5, 0);
        query = new ScatterQuery(
                target,
                harness.pools(),
                ImmutableList.of(stage),
                RoutedRequestHarness.bounds(2),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        assertThat(harness.attempts).hasSize(1);
        harness.execute(query.onAnswer(harness.attempts.get(0), part("sig0"), MILLI), MILLI);
    }

    @Test
    void partsFromAThirdHostAfterTheGoalAreForwarded() {
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.partials.get(0).signatures()).containsExactly("sig0");
        harness.execute(query.onStageReply(stage, reply("sig1"), AFTER_GOAL), AFTER_GOAL);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig1");
    }

    @Test
    void aThirdHostThatFailsAfterTheGoalIsNotReplaced() {
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        harness.execute(query.onStageFailure(stage, false, AFTER_GOAL), AFTER_GOAL);
        assertThat(harness.attempts).hasSize(1);
        assertThat(query.isOver()).isTrue();
    }

    @Test
    void aThirdHostThatFailsBeforeTheGoalIsReplaced() {
        harness.execute(query.onStageFailure(stage, true, 2 * MILLI), 2 * MILLI);
        assertThat(harness.attempts).hasSize(2);
    }

    /** Guards against a third attempt by the delegating host. */
    @Test
    void aShardThatTheThirdHostHedgedIsReportedAsHedged() {
        assertThat(query.hedgedShards()).isEmpty();
        query.onStageProgress(stage, ImmutableList.of(1));
        assertThat(query.hedgedShards()).containsExactly(1);
    }

    @Test
    void aShardAttemptedThereAndHereIsReportedAsHedged() {
        harness.execute(query.onStageFailure(stage, false, 2 * MILLI), 2 * MILLI);
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
