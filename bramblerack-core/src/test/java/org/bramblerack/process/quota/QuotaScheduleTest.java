package org.bramblerack.process.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Limits on teams' rates over many drawn schedules: the bound holds whatever happens, who keeps to a limit is not
 * refused, and a limit is used. Each check is shown to find a fault that is planted for it.
 */
final class QuotaScheduleTest {
    /** More are played by hand: {@code JAVA_TOOL_OPTIONS=-Dquota.seeds=10000}. */
    private static final int SEEDS = Integer.getInteger("quota.seeds", 300);

    private static final int FIRST_SEED = Integer.getInteger("quota.first", 0);

    private static final QuotaWorld.Demand HOT = new QuotaWorld.Demand(0.625, 6.25);

    @Test
    void theBoundHoldsUnderAllFaults() {
        List<String> broken = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            double over = drawn(seed, QuotaWorld.Plant.NONE).worst();
            if (over > 0) {
                broken.add("seed " + seed + " " + troubles(seed) + ": over by " + over);
            }
        }
        System.out.println("limits on rates: over the bound in " + broken.size() + " of " + SEEDS + " schedules");
        assertThat(broken).isEmpty();
    }

    @Test
    void aTeamWithinItsLimitIsNotRefused() {
        int asked = 0;
        int refused = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS / 10; seed++) {
            QuotaWorld world = calm(seed, new QuotaWorld.Demand(0.9, 0), QuotaWorld.Plant.NONE);
            asked += world.owed();
            refused += world.owedRefused();
        }
        System.out.println("limits on rates: refused below the limit " + refused + " of " + asked);
        assertThat(refused * 1_000.0 / asked).isLessThan(1.0);
    }

    /** Hosts that are killed or stopped in turn, and control that is lost, leave the others in touch. */
    @Test
    void aTeamWithinItsLimitIsNotRefusedWhileHostsComeAndGo() {
        int asked = 0;
        int refused = 0;
        for (QuotaWorld.Trouble trouble :
                List.of(QuotaWorld.Trouble.KILL, QuotaWorld.Trouble.ROLL, QuotaWorld.Trouble.CONTROL_LOST)) {
            for (int seed = FIRST_SEED; seed < FIRST_SEED + 5; seed++) {
                QuotaWorld.Demand usual = new QuotaWorld.Demand(0.625, 0);
                QuotaWorld world =
                        new QuotaWorld(seed, EnumSet.of(trouble), 63, 8, usual, QuotaWorld.Plant.NONE).play();
                asked += world.owed();
                refused += world.owedRefused();
            }
        }
        System.out.println("limits on rates: refused while hosts come and go " + refused + " of " + asked);
        assertThat(refused * 1_000.0 / asked).isLessThan(1.0);
    }

    @Test
    void aTeamCanUseItsWholeLimit() {
        double least = 1;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS / 10; seed++) {
            least = Math.min(
                    least,
                    calm(seed, new QuotaWorld.Demand(3, 0), QuotaWorld.Plant.NONE)
                            .use("t0", 3, 16));
        }
        System.out.println("limits on rates: least use " + least);
        assertThat(least).isAtLeast(0.95);
    }

    @Test
    void plantedFaultsAreFound() {
        for (QuotaWorld.Plant plant : List.of(
                QuotaWorld.Plant.NOTHING_REPORTED, QuotaWorld.Plant.NOTHING_TOLD, QuotaWorld.Plant.ALONE_IS_FREE)) {
            boolean found = false;
            for (int seed = 0; seed < 300 && !found; seed++) {
                found = drawn(seed, plant).worst() > 0;
            }
            assertThat(found ? plant : null).isEqualTo(plant);
        }
        QuotaWorld world = calm(1, new QuotaWorld.Demand(0.9, 0), QuotaWorld.Plant.NOTHING_PERMITTED);
        assertThat(world.owedRefused() * 1_000.0 / world.owed()).isGreaterThan(1.0);
        assertThat(world.use("t0", 3, 16)).isLessThan(0.95);
    }

    private static QuotaWorld calm(int seed, QuotaWorld.Demand demand, QuotaWorld.Plant plant) {
        return new QuotaWorld(seed, EnumSet.noneOf(QuotaWorld.Trouble.class), 9, 12, demand, plant).play();
    }

    private static QuotaWorld drawn(int seed, QuotaWorld.Plant plant) {
        int hosts = seed % 20 == 0 ? 63 : 6 + seed % 7;
        return new QuotaWorld(seed, troubles(seed), hosts, 8, HOT, plant).play();
    }

    /** Returns troubles that may come together; any of them may be left out. */
    private static EnumSet<QuotaWorld.Trouble> troubles(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EnumSet<QuotaWorld.Trouble> troubles = EnumSet.noneOf(QuotaWorld.Trouble.class);
        for (QuotaWorld.Trouble trouble : QuotaWorld.Trouble.values()) {
            if (random.nextInt(4) == 0) {
                troubles.add(trouble);
            }
        }
        return troubles;
    }
}
