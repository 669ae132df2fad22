package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.bramblerack.process.WarmUpPlan.LeafCalls;
import org.bramblerack.process.WarmUpPlan.Step;
import org.junit.jupiter.api.Test;

/** A fleet of which few hosts call leafs: only those pay for warm code, whenever they learn of it. */
final class WarmUpPlanTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final WarmUpPlan plan = new WarmUpPlan();

    @Test
    void aHostThatCallsLeafsServesAllQueries() {
        assertThat(servedWhile(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES);
        assertThat(plan.next(LeafCalls.MADE_HERE)).isEqualTo(Step.END);
    }

    @Test
    void aHostThatLeavesThemToOthersServesTheFirstOnly() {
        assertThat(servedWhile(LeafCalls.MADE_BY_OTHERS)).isEqualTo(WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.next(LeafCalls.MADE_BY_OTHERS)).isEqualTo(Step.END);
    }

    @Test
    void aHostWithoutTablesWaitsForThemAfterTheFirst() {
        assertThat(servedWhile(LeafCalls.UNKNOWN)).isEqualTo(WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.next(LeafCalls.UNKNOWN)).isEqualTo(Step.WAIT);
        assertThat(servedWhile(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES - WarmUpPlan.FIRST_QUERIES);
    }

    /** The leafs of a fleet that starts are told of one by one, and so are its hosts. */
    @Test
    void aHostThatLearnsLaterThatItCallsLeafsServesTheRestOnceThatHasSettled() {
        servedWhile(LeafCalls.UNKNOWN);
        assertThat(plan.nextAfterStart(LeafCalls.UNKNOWN, false, SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 2 * SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_BY_OTHERS, false, 3 * SECOND))
                .isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 4 * SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 5 * SECOND)).isEqualTo(Step.SERVE);
        assertThat(servedWhile(LeafCalls.MADE_HERE)).isEqualTo(WarmUpPlan.ALL_QUERIES - WarmUpPlan.FIRST_QUERIES);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, 6 * SECOND)).isEqualTo(Step.END);
    }

    @Test
    void aHostThatHasHadWorkServesNoneOfItsOwn() {
        servedWhile(LeafCalls.UNKNOWN);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, false, SECOND)).isEqualTo(Step.WAIT);
        assertThat(plan.nextAfterStart(LeafCalls.MADE_HERE, true, 3 * SECOND)).isEqualTo(Step.END);
    }

    private int servedWhile(LeafCalls calls) {
        int served = 0;
        while (plan.next(calls) == Step.SERVE) {
            served++;
        }
        return served;
    }
}
