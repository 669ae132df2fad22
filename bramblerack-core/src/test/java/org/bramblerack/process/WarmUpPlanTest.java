package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bramblerack.process.WarmUpPlan.LeafCalls;
import org.bramblerack.process.WarmUpPlan.Step;
import org.junit.jupiter.api.Test;

/** Guards against hosts that warm up without calling leaves, or call leaves without a warm-up. */
final class WarmUpPlanTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final WarmUpPlan plan = new WarmUpPlan();

    @Test
    void aHostThatCallsLeavesRunsAllQueries() {
        assertThat(countServed(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES);
        assertThat(plan.next(LeafCalls.MADE_HERE)).isEqualTo(Step.END);
    }

    @Test
    void aHostThatCallsNoLeavesRunsOnlyTheFirstQueries() {
        assertThat(countServed(LeafCalls.MADE_BY_OTHERS)).isEqualTo(WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.next(LeafCalls.MADE_BY_OTHERS)).isEqualTo(Step.END);
    }

    @Test
    void aHostWithoutTablesWaitsAfterTheFirstQueries() {
        assertThat(countServed(LeafCalls.UNKNOWN)).isEqualTo(WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.next(LeafCalls.UNKNOWN)).isEqualTo(Step.WAIT);
        assertThat(countServed(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES - WarmUpPlan.FIRST_QUERIES);
    }

    /** Leaves and hosts of a starting fleet become known one by one. */
    @Test
    void runsTheRemainingQueriesOnceTheTablesHaveSettled() {
        countServed(LeafCalls.UNKNOWN);
        assertThat(plan.nextAfterStart(LeafCalls.UNKNOWN, false, SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 2 * SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_BY_OTHERS, false, 3 * SECOND))
                .isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 4 * SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 5 * SECOND)).isEqualTo(Step.SERVE);
        assertThat(countServed(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES - WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 6 * SECOND)).isEqualTo(Step.END);
    }

    @Test
    void aHostThatHasHadRequestsRunsNoMoreQueries() {
        countServed(LeafCalls.UNKNOWN);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, true, 3 * SECOND)).isEqualTo(Step.END);
    }

    private int countServed(LeafCalls calls) {
        int served = 0;
        while (plan.next(calls) == Step.SERVE) {
            served++;
        }
        return served;
    }
}
