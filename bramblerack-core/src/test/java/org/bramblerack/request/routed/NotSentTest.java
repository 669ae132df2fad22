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
 * Attempts that reached no leaf cost no budget. A host may delegate shards to a holder that does not know the leaves of
 * a new index yet.
 */
final class NotSentTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final RoutedRequestHarness harness = new RoutedRequestHarness();
    private final StageAttempt stage =
            new StageAttempt("holder", ImmutableList.of(1), RoutedRequestHarness.DEADLINE_NANOS);

    @Test
    void anAttemptAfterOneThatWasNotSentCostsNoBudget() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        fail(query, LeafOutcome.UNREACHABLE);
        assertThat(harness.attempts).hasSize(3);
    }

    @Test
    void anAttemptAfterARefusalCostsBudget() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        fail(query, LeafOutcome.REFUSED_BUSY);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void shardsThatAHolderSentToNoLeafAreCalledLocallyWithoutBudget() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of(stage));
        assertThat(harness.attempts).hasSize(1);
        StageReply reply = new StageReply(
                ImmutableList.of(), ImmutableList.of(), ImmutableList.of(1), ImmutableList.of(), ByteString.EMPTY);
        harness.execute(query.onStageReply(stage, reply, MILLI), MILLI);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.attempts.get(1).leaf().service()).isEqualTo("s1");
    }

    @Test
    void aHolderReportsWhichShardsItSentToNoLeaf() {
        harness.addService("empty", 0, 10);
        ScatterQuery query = query(10, ScatterQuery.Delivery.INCREMENTAL, ImmutableList.of());
        for (int number = 0; number < 2; number++) {
            Attempt attempt = harness.attempts.get(number);
            harness.end(attempt, LeafOutcome.SUCCEEDED, MILLI);
            harness.execute(query.onAnswer(attempt, RoutedRequestHarness.part("sig" + number, 1), MILLI), MILLI);
        }
        assertThat(harness.delivered.get(0).notSent()).containsExactly(0);
        assertThat(harness.delivered.get(0).shards()).containsExactly(1, 2);
    }

    /** All connections to the leaves are in use until the deadline. */
    @Test
    void aQueryWhoseCallsWereGivenUpBeforeTheyWereSentHasNotRun() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of());
        harness.execute(query.wake(RoutedRequestHarness.DEADLINE_NANOS), RoutedRequestHarness.DEADLINE_NANOS);
        assertThat(harness.refused).containsExactly(RefusalReason.TIME_UP);
        harness.abandoned.get(0).markNeverSent();
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP)).isEqualTo(RefusalReason.TIME_UP);
        harness.abandoned.get(1).markNeverSent();
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP).isNotRun()).isTrue();
    }

    /** The connection to the other host is not established before the deadline. */
    @Test
    void aQueryWhoseCallToAnotherHostWasNeverSentHasNotRun() {
        ScatterQuery query = query(0, ScatterQuery.Delivery.SINGLE, ImmutableList.of(stage));
        harness.execute(query.wake(RoutedRequestHarness.DEADLINE_NANOS), RoutedRequestHarness.DEADLINE_NANOS);
        harness.abandoned.forEach(Attempt::markNeverSent);
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP)).isEqualTo(RefusalReason.TIME_UP);
        query.onStageNeverSent(stage);
        assertThat(query.finalRefusalReason(RefusalReason.TIME_UP).isNotRun()).isTrue();
    }

    private ScatterQuery query(int budget, ScatterQuery.Delivery delivery, ImmutableList<StageAttempt> stages) {
        harness.addService("s0", 2, budget);
        harness.addService("s1", 2, budget);
        ScatterQuery query = new ScatterQuery(
                new RouteTarget.Scatter(ImmutableList.copyOf(harness.pools.keySet()), 5, 0),
                harness.pools(),
                stages,
                RoutedRequestHarness.bounds(2),
                delivery,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        return query;
    }

    private void fail(ScatterQuery query, LeafOutcome outcome) {
        Attempt attempt = harness.attempts.get(0);
        harness.end(attempt, outcome, MILLI);
        harness.execute(query.onFailure(attempt, outcome, MILLI), MILLI);
    }
}
