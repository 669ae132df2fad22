package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bramblerack.process.agreement.AgreementWorld.Faults;
import org.junit.jupiter.api.Test;

/** Random schedules from fixed seeds; a failing one is shrunk and printed. */
final class AgreementScheduleTest {
    private static final int LARGEST_STEP = AgreementWorld.KINDS * 1_000;

    @Property(tries = 1_200, seed = "5")
    void threeVotersKeepTheirPromises(
            @ForAll @Size(min = 100, max = 900) List<@IntRange(max = LARGEST_STEP) Integer> schedule) {
        play(new AgreementWorld(3, Faults.NONE), schedule);
    }

    @Property(tries = 600, seed = "6")
    void fiveVotersKeepTheirPromises(
            @ForAll @Size(min = 200, max = 1_200) List<@IntRange(max = LARGEST_STEP) Integer> schedule) {
        play(new AgreementWorld(5, Faults.NONE), schedule);
    }

    @Test
    void longSchedulesAgreeOnManyCommands() {
        int agreed = 0;
        for (long seed = 1; seed <= 40; seed++) {
            AgreementWorld world = new AgreementWorld(3, Faults.NONE);
            SplittableRandom random = new SplittableRandom(seed);
            for (int step = 0; step < 6_000; step++) {
                world.step(random.nextInt(LARGEST_STEP));
            }
            world.settle();
            agreed += world.agreedCount();
        }
        assertThat(agreed).isGreaterThan(1_000);
    }

    /** A deliberate break: what is not synced is lost in a crash, and the checks must see it. */
    @Test
    void aSkippedSyncIsCaught() {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 40; seed++) {
                AgreementWorld world = new AgreementWorld(3, Faults.SYNCS_SKIPPED);
                SplittableRandom random = new SplittableRandom(seed);
                for (int step = 0; step < 6_000; step++) {
                    world.step(random.nextInt(LARGEST_STEP));
                }
                world.settle();
            }
        });
    }

    @Test
    void losingOneDiskAtATimeLosesNoCommittedEntry() {
        int agreed = 0;
        int wipes = 0;
        for (long seed = 1; seed <= 150; seed++) {
            AgreementWorld world = playRandomly(seed, Faults.DISKS_LOST);
            agreed += world.agreedCount();
            wipes += world.wipeCount();
        }
        assertThat(agreed).isGreaterThan(1_000);
        assertThat(wipes).isGreaterThan(150);
    }

    /** A deliberate break: a voter that lost its disk goes on voting, and the checks must see it. */
    @Test
    void aWipedVoterUnderItsOldNameIsCaught() {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 150; seed++) {
                playRandomly(seed, Faults.DISKS_LOST_AND_NAMES_KEPT);
            }
        });
    }

    private static AgreementWorld playRandomly(long seed, Faults faults) {
        AgreementWorld world = new AgreementWorld(3, faults);
        SplittableRandom random = new SplittableRandom(seed);
        for (int step = 0; step < 6_000; step++) {
            world.step(random.nextInt(LARGEST_STEP));
        }
        world.settle();
        return world;
    }

    private static void play(AgreementWorld world, List<Integer> schedule) {
        schedule.forEach(world::step);
        world.settle();
    }
}
