package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.List;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

/**
 * Calls of one query that are disconnected on many shards at once, by lost connections or by a request that crashes
 * leaves.
 */
final class DisconnectProbeTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final int SHARDS = 20;

    private final RoutedRequestHarness harness = new RoutedRequestHarness();

    @Test
    void aHarmfulQueryIsRetriedAtOneLeafOnly() {
        ScatterQuery query = start();
        List<Attempt> first = disconnectAll(query);
        assertThat(harness.attempts).hasSize(SHARDS + 1);
        harness.fail(query, harness.attempts.get(SHARDS), LeafOutcome.BROKEN, 2 * MILLI);
        assertThat(harness.attempts).hasSize(SHARDS + 1);
        assertThat(harness.refused).containsExactly(RefusalReason.TOO_FEW_SHARDS);
        assertThat(first).hasSize(SHARDS);
    }

    @Test
    void allShardsRetryOnceOneLeafHasAnswered() {
        ScatterQuery query = start();
        disconnectAll(query);
        harness.answer(query, harness.attempts.get(SHARDS), "probe", 2 * MILLI);
        assertThat(harness.attempts).hasSize(2 * SHARDS);
        for (int number = SHARDS + 1; number < 2 * SHARDS; number++) {
            harness.answer(query, harness.attempts.get(number), "sig" + number, 3 * MILLI);
        }
        assertThat(harness.delivered.get(0).missing()).isEqualTo(0);
    }

    @Test
    void shardsRetryAtOnceIfAnyLeafHasAnswered() {
        ScatterQuery query = start();
        harness.answer(query, harness.attempts.get(0), "sig", MILLI);
        for (Attempt attempt : List.copyOf(harness.attempts.subList(1, SHARDS))) {
            harness.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        assertThat(harness.attempts).hasSize(2 * SHARDS - 1);
    }

    /** Half of the leaves crash for other reasons while the others are still working. */
    @Test
    void afterASecondDisconnectShardsWaitForOutstandingAnswers() {
        ScatterQuery query = start();
        for (Attempt attempt : List.copyOf(harness.attempts.subList(0, SHARDS / 2))) {
            harness.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        harness.fail(query, harness.attempts.get(SHARDS), LeafOutcome.BROKEN, 2 * MILLI);
        assertThat(harness.attempts).hasSize(SHARDS + 1);
        assertThat(harness.refused).isEmpty();
        harness.answer(query, harness.attempts.get(SHARDS - 1), "sig", 3 * MILLI);
        // All but the shard that has used its attempts.
        assertThat(harness.attempts).hasSize(SHARDS + 1 + SHARDS / 2 - 1);
    }

    @Test
    void anotherShardProbesIfTheFirstProbeIsQuarantined() {
        ScatterQuery query = start();
        disconnectAll(query);
        harness.fail(query, harness.attempts.get(SHARDS), LeafOutcome.BARRED, 2 * MILLI);
        assertThat(harness.attempts).hasSize(SHARDS + 2);
    }

    private ScatterQuery start() {
        for (int shard = 0; shard < SHARDS; shard++) {
            harness.addService("s" + shard, 3, 10);
        }
        ScatterQuery query = new ScatterQuery(
                harness.target(0.5),
                harness.pools(),
                ImmutableList.of(),
                RoutedRequestHarness.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        return query;
    }

    private List<Attempt> disconnectAll(ScatterQuery query) {
        List<Attempt> first = List.copyOf(harness.attempts);
        for (Attempt attempt : first) {
            harness.fail(query, attempt, LeafOutcome.BROKEN, MILLI);
        }
        return first;
    }
}
