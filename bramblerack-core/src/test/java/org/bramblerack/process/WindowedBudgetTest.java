package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class WindowedBudgetTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long LONG_AGO = -100 * SECOND;

    @Test
    void spentAttemptsBecomeAvailableAfterTheWindow() {
        WindowedBudget budget = budget(0, 1);
        assertThat(budget.tryWithdraw(0)).isTrue();
        assertThat(budget.tryWithdraw(9 * SECOND)).isFalse();
        assertThat(budget.tryWithdraw(12 * SECOND)).isTrue();
    }

    @Test
    void firstAttemptsAddTheirPercentage() {
        WindowedBudget budget = budget(50, 0);
        assertThat(budget.tryWithdraw(0)).isFalse();
        budget.recordFirstAttempt(0);
        assertThat(budget.tryWithdraw(0)).isFalse();
        budget.recordFirstAttempt(SECOND);
        assertThat(budget.tryWithdraw(SECOND)).isTrue();
        assertThat(budget.tryWithdraw(SECOND)).isFalse();
    }

    @Test
    void theFirstReserveAppliesForOneWindowAfterTheStart() {
        WindowedBudget budget = WindowedBudget.create(0, WINDOW, 0).setReserve(2, 0);
        assertThat(budget.tryWithdraw(9 * SECOND)).isFalse();
        assertThat(budget.tryWithdraw(10 * SECOND)).isTrue();
    }

    @Test
    void aPartOfTheBudgetCanBeReserved() {
        WindowedBudget budget = budget(0, 4);
        assertThat(budget.tryWithdrawAbove(50, 0)).isTrue();
        assertThat(budget.tryWithdrawAbove(50, 0)).isTrue();
        assertThat(budget.tryWithdrawAbove(50, 0)).isFalse();
        assertThat(budget.remainingFraction(0)).isEqualTo(0.5);
        assertThat(budget.tryWithdraw(0)).isTrue();
    }

    @Test
    void noWindowExceedsReserveAndPercentage() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int reserve = random.nextInt(6);
            WindowedBudget budget = budget(20, reserve);
            List<Long> firsts = new ArrayList<>();
            List<Long> extras = new ArrayList<>();
            long nowNanos = 0;
            for (int event = 0; event < 2_000; event++) {
                nowNanos += random.nextLong(random.nextInt(20) == 0 ? 8 * SECOND : SECOND / 10);
                if (random.nextInt(3) > 0) {
                    budget.recordFirstAttempt(nowNanos);
                    firsts.add(nowNanos);
                } else if (budget.tryWithdraw(nowNanos)) {
                    extras.add(nowNanos);
                }
            }
            for (long endNanos : extras) {
                double most = reserve + 0.2 * countIn(firsts, endNanos);
                assertThat((double) countIn(extras, endNanos)).isAtMost(most);
            }
        }
    }

    /** Counts the times in the window that ends at a given time. */
    private static long countIn(List<Long> times, long endNanos) {
        return times.stream()
                .filter(time -> time <= endNanos && endNanos - time <= WINDOW.toNanos())
                .count();
    }

    private static WindowedBudget budget(int extraPercent, int reserve) {
        return WindowedBudget.create(extraPercent, WINDOW, LONG_AGO).setReserve(reserve, reserve);
    }
}
