package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bramblerack.process.RetryBudget;
import org.junit.jupiter.api.Test;

/** All hosts together stay within the budget of the fleet, whatever they would like to spend. */
final class FleetBudgetTest {
    private static final int WINDOW_STEPS = 1_000;

    @Test
    void theSumOfAllHostsIsWithinTheBudgetInEveryWindow() {
        FleetBudget fleet = new FleetBudget(20, 54);
        for (int hosts : new int[] {1, 2, 7, 20, 100}) {
            List<RetryBudget> budgets = new ArrayList<>();
            for (int host = 0; host < hosts; host++) {
                budgets.add(RetryBudget.create(fleet.ownPercent(), fleet.slackOf(hosts)));
            }
            int[] firsts = new int[10 * WINDOW_STEPS];
            int[] extras = new int[firsts.length];
            SplittableRandom random = new SplittableRandom(hosts);
            for (int step = 0; step < firsts.length; step++) {
                RetryBudget own = budgets.get(random.nextInt(hosts));
                if (step / WINDOW_STEPS % 2 == 0) {
                    own.deposit(1);
                    firsts[step] = 1;
                }
                while (own.tryWithdraw()) {
                    extras[step]++;
                }
            }
            checkEveryWindow(fleet, firsts, extras);
        }
    }

    @Test
    void aLoneHostDoesNotSpendTheSlackOfAll() {
        assertThat(new FleetBudget(20, 54).slackOf(7)).isAtMost(54 / 7);
    }

    private static void checkEveryWindow(FleetBudget fleet, int[] firsts, int[] extras) {
        int first = 0;
        int extra = 0;
        for (int step = 0; step < firsts.length; step++) {
            first += firsts[step];
            extra += extras[step];
            if (step >= WINDOW_STEPS) {
                first -= firsts[step - WINDOW_STEPS];
                extra -= extras[step - WINDOW_STEPS];
            }
            assertThat((double) extra).isAtMost(fleet.extraPercent() / 100.0 * first + fleet.slack());
        }
    }
}
