package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against hosts that together exceed the budget of the fleet. */
final class FleetBudgetTest {
    private static final int WINDOW_STEPS = 1_000;
    private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();
    private static final Duration WINDOW = Duration.ofNanos(WINDOW_STEPS * STEP_NANOS);
    private static final long LONG_AGO_NANOS = -10 * WINDOW.toNanos();
    private static final String SERVICE = "ledger";
    /** With a hundred hosts, an equal share of the slack is less than two attempts. */
    private static final FleetBudget LARGE = new FleetBudget(20, 228, WINDOW);

    @Test
    void theSumOfAllHostsIsWithinTheBudgetInEveryWindow() {
        FleetBudget fleet = new FleetBudget(20, 54, WINDOW);
        for (int hosts : new int[] {1, 2, 7, 20, 100}) {
            checkEveryWindow(fleet, hosts, 0);
        }
    }

    @Test
    void hostsThatRestartDoNotTakeTheFleetOverItsBudget() {
        checkEveryWindow(LARGE, 94, 10);
    }

    @Test
    void oneHostCannotSpendTheWholeSlack() {
        WindowedBudget budget = new FleetBudget(20, 54, WINDOW).newShare(LONG_AGO_NANOS);
        new FleetBudget(20, 54, WINDOW).assignShare(budget, new FleetBudget.Rank(0, 7));
        assertThat(spendAll(budget, 0)).isAtMost(54 / 7);
    }

    @Test
    void everyHostOfALargeFleetCanRetryInEveryWindow() {
        int hosts = 94;
        for (int position = 0; position < hosts; position++) {
            WindowedBudget budget = LARGE.newShare(LONG_AGO_NANOS);
            LARGE.assignShare(budget, FleetBudget.Rank.of(position, hosts, SERVICE));
            assertThat(spendAll(budget, 0)).isAtLeast(1);
            assertThat(spendAll(budget, 2 * WINDOW.toNanos())).isAtLeast(1);
        }
    }

    @Test
    void holdersAndOtherHostsDivideTheSlack() {
        int hosts = 94;
        int zones = 2;
        int spentByOthers = 0;
        for (int position = 0; position < hosts; position++) {
            WindowedBudget budget = LARGE.newShare(LONG_AGO_NANOS);
            LARGE.assignNonHolderShare(budget, FleetBudget.Rank.of(position, hosts, SERVICE));
            spentByOthers += spendAll(budget, 0);
        }
        WindowedBudget holder = LARGE.newShare(LONG_AGO_NANOS);
        LARGE.assignHolderShare(holder, hosts, zones);
        int spentByHolder = spendAll(holder, 0);
        assertThat(spentByOthers).isGreaterThan(hosts * 9 / 10);
        assertThat(spentByHolder).isGreaterThan(40);
        assertThat(spentByOthers + zones * spentByHolder).isAtMost(LARGE.slack());
    }

    @Test
    void sharesOfHoldersAndOthersAddUpToAtMostTheSlack() {
        int zones = 3;
        for (int slack : new int[] {54, 158, 206}) {
            FleetBudget fleet = new FleetBudget(20, slack, WINDOW);
            for (int hosts : new int[] {7, 59, 83, 300}) {
                int spentByOthers = 0;
                int mostByOther = 0;
                for (int position = zones; position < hosts; position++) {
                    WindowedBudget budget = fleet.newShare(LONG_AGO_NANOS);
                    fleet.assignNonHolderShare(budget, new FleetBudget.Rank(position, hosts));
                    int spent = spendAll(budget, 0);
                    spentByOthers += spent;
                    mostByOther = Math.max(mostByOther, spent);
                }
                WindowedBudget holder = fleet.newShare(LONG_AGO_NANOS);
                fleet.assignHolderShare(holder, hosts, zones);
                int spentByHolder = spendAll(holder, 0);
                assertThat(spentByOthers + zones * spentByHolder).isAtMost(slack);
                assertThat(spentByHolder).isAtLeast(mostByOther);
            }
        }
    }

    /**
     * Lets hosts spend all they can, with restarts that reset the budget to its first share, and checks every window.
     */
    private static void checkEveryWindow(FleetBudget fleet, int hosts, int restarts) {
        List<WindowedBudget> budgets = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            budgets.add(share(fleet, host, hosts, LONG_AGO_NANOS));
        }
        int[] firsts = new int[10 * WINDOW_STEPS];
        int[] extras = new int[firsts.length];
        SplittableRandom random = new SplittableRandom(hosts);
        for (int step = 0; step < firsts.length; step++) {
            long nowNanos = step * STEP_NANOS;
            int host = random.nextInt(hosts);
            if (restarts > 0 && step % (WINDOW_STEPS / restarts) == 0) {
                budgets.set(host, share(fleet, host, hosts, nowNanos));
            }
            WindowedBudget own = budgets.get(host);
            if (step / WINDOW_STEPS % 2 == 0) {
                own.recordFirstAttempt(nowNanos);
                firsts[step] = 1;
            }
            extras[step] = spendAll(own, nowNanos);
        }
        checkEveryWindow(fleet, firsts, extras);
    }

    private static WindowedBudget share(FleetBudget fleet, int host, int hosts, long startedNanos) {
        WindowedBudget budget = fleet.newShare(startedNanos);
        fleet.assignShare(budget, FleetBudget.Rank.of(host, hosts, SERVICE));
        return budget;
    }

    private static int spendAll(WindowedBudget budget, long nowNanos) {
        int spent = 0;
        while (budget.tryWithdraw(nowNanos)) {
            spent++;
        }
        return spent;
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
