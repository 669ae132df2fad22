package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against the old and the new holder of a shard spending the same share of the slack within one window. */
final class MovedHolderShareTest {
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int SLACK = 54;
    private static final int ZONES = 3;
    private static final int HOSTS = 9;
    private static final String SERVICE = "ledger";

    private final FleetBudget fleet = new FleetBudget(20, SLACK, WINDOW);

    @Test
    void theSlackIsNotExceededWhenTheHoldersOfAllZonesChange() {
        List<WindowedBudget> budgets = new ArrayList<>();
        for (int host = 0; host < HOSTS; host++) {
            budgets.add(fleet.newShare(-10 * WINDOW.toNanos()));
        }
        assignShares(budgets, 0);
        int spent = spendAll(budgets, 0);
        assignShares(budgets, ZONES);
        spent += spendAll(budgets, WINDOW.toNanos() / 2);
        assertThat(spent).isAtMost(SLACK);
    }

    /** Makes consecutive hosts the holders, one in each zone. */
    private void assignShares(List<WindowedBudget> budgets, int firstHolder) {
        for (int host = 0; host < HOSTS; host++) {
            if (host >= firstHolder && host < firstHolder + ZONES) {
                fleet.assignHolderShare(budgets.get(host), HOSTS, ZONES);
            } else {
                fleet.assignNonHolderShare(budgets.get(host), FleetBudget.Rank.of(host, HOSTS, SERVICE));
            }
        }
    }

    private static int spendAll(List<WindowedBudget> budgets, long nowNanos) {
        int spent = 0;
        for (WindowedBudget budget : budgets) {
            while (budget.tryWithdraw(nowNanos)) {
                spent++;
            }
        }
        return spent;
    }
}
