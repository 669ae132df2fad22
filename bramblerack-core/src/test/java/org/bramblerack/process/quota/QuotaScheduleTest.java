package org.bramblerack.process.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against exceeding the bound on teams' rates under faults, refusing teams within their limits, and leaving
 * limits unused. Injected defects verify that each check can fail.
 */
final class QuotaScheduleTest {
    /** Run more seeds with {@code JAVA_TOOL_OPTIONS=-Dquota.seeds=10000}. */
    private static final int SEEDS = Integer.getInteger("quota.seeds", 300);

    private static final int FIRST_SEED = Integer.getInteger("quota.first", 0);

    private static final QuotaSimulation.Demand WITH_PEAKS = new QuotaSimulation.Demand(0.625, 6.25);

    @Test
    void theBoundHoldsUnderAllFaults() {
        List<String> violations = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            double excess = withRandomFaults(seed, QuotaSimulation.Defect.NONE).maxExcess();
            if (excess > 0) {
                violations.add("seed " + seed + " " + randomFaults(seed) + ": over by " + excess);
            }
        }
        System.out.println("limits on rates: over the bound in " + violations.size() + " of " + SEEDS + " schedules");
        assertThat(violations).isEmpty();
    }

    @Test
    void aTeamWithinItsLimitIsNotRefused() {
        int entitled = 0;
        int refused = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS / 10; seed++) {
            QuotaSimulation simulation =
                    withoutFaults(seed, new QuotaSimulation.Demand(0.9, 0), QuotaSimulation.Defect.NONE);
            entitled += simulation.entitled();
            refused += simulation.entitledRefused();
        }
        System.out.println("limits on rates: refused below the limit " + refused + " of " + entitled);
        assertThat(refused * 1_000.0 / entitled).isLessThan(1.0);
    }

    /** Uses only faults that leave the remaining hosts connected. */
    @Test
    void aTeamWithinItsLimitIsNotRefusedWhileHostsComeAndGo() {
        int entitled = 0;
        int refused = 0;
        for (QuotaSimulation.Fault fault : List.of(
                QuotaSimulation.Fault.KILL_HOST,
                QuotaSimulation.Fault.ROLLING_RESTART,
                QuotaSimulation.Fault.LOSE_CONTROL_LEADER)) {
            for (int seed = FIRST_SEED; seed < FIRST_SEED + 5; seed++) {
                QuotaSimulation.Demand normal = new QuotaSimulation.Demand(0.625, 0);
                QuotaSimulation simulation =
                        new QuotaSimulation(seed, EnumSet.of(fault), 63, 8, normal, QuotaSimulation.Defect.NONE).run();
                entitled += simulation.entitled();
                refused += simulation.entitledRefused();
            }
        }
        System.out.println("limits on rates: refused while hosts come and go " + refused + " of " + entitled);
        assertThat(refused * 1_000.0 / entitled).isLessThan(1.0);
    }

    @Test
    void aTeamCanUseItsWholeLimit() {
        double minUtilization = 1;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS / 10; seed++) {
            minUtilization = Math.min(
                    minUtilization,
                    withoutFaults(seed, new QuotaSimulation.Demand(3, 0), QuotaSimulation.Defect.NONE)
                            .utilization("t0", 3, 16));
        }
        System.out.println("limits on rates: minimum utilization " + minUtilization);
        assertThat(minUtilization).isAtLeast(0.95);
    }

    @Test
    void injectedDefectsAreDetected() {
        for (QuotaSimulation.Defect defect : List.of(
                QuotaSimulation.Defect.NOTHING_REPORTED,
                QuotaSimulation.Defect.NO_HISTORY_REPORTED,
                QuotaSimulation.Defect.ISOLATED_UNLIMITED)) {
            boolean detected = false;
            for (int seed = 0; seed < 300 && !detected; seed++) {
                detected = withRandomFaults(seed, defect).maxExcess() > 0;
            }
            assertThat(detected ? defect : null).isEqualTo(defect);
        }
        QuotaSimulation simulation =
                withoutFaults(1, new QuotaSimulation.Demand(0.9, 0), QuotaSimulation.Defect.NOTHING_PERMITTED);
        assertThat(simulation.entitledRefused() * 1_000.0 / simulation.entitled())
                .isGreaterThan(1.0);
        assertThat(simulation.utilization("t0", 3, 16)).isLessThan(0.95);
    }

    private static QuotaSimulation withoutFaults(
            int seed, QuotaSimulation.Demand demand, QuotaSimulation.Defect defect) {
        return new QuotaSimulation(seed, EnumSet.noneOf(QuotaSimulation.Fault.class), 9, 12, demand, defect).run();
    }

    private static QuotaSimulation withRandomFaults(int seed, QuotaSimulation.Defect defect) {
        int hosts = seed % 20 == 0 ? 63 : 6 + seed % 7;
        return new QuotaSimulation(seed, randomFaults(seed), hosts, 8, WITH_PEAKS, defect).run();
    }

    /** Returns a random set of faults, which may be empty. */
    private static EnumSet<QuotaSimulation.Fault> randomFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EnumSet<QuotaSimulation.Fault> faults = EnumSet.noneOf(QuotaSimulation.Fault.class);
        for (QuotaSimulation.Fault fault : QuotaSimulation.Fault.values()) {
            if (random.nextInt(4) == 0) {
                faults.add(fault);
            }
        }
        return faults;
    }
}
