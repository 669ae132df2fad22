package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bramblerack.process.agreement.RaftSimulation.Faults;
import org.junit.jupiter.api.Test;

/** Checks the Raft invariants under random schedules of faults, from fixed seeds. */
final class AgreementScheduleTest {
    private static final int MAX_STEP = RaftSimulation.STEP_KINDS * 1_000;

    @Property(tries = 1_200, seed = "5")
    void threeVotersKeepTheirPromises(
            @ForAll @Size(min = 100, max = 900) List<@IntRange(max = MAX_STEP) Integer> schedule) {
        run(new RaftSimulation(3, Faults.NONE), schedule);
    }

    @Property(tries = 600, seed = "6")
    void fiveVotersKeepTheirPromises(
            @ForAll @Size(min = 200, max = 1_200) List<@IntRange(max = MAX_STEP) Integer> schedule) {
        run(new RaftSimulation(5, Faults.NONE), schedule);
    }

    @Test
    void longSchedulesCommitManyCommands() {
        int committed = 0;
        for (long seed = 1; seed <= 40; seed++) {
            RaftSimulation simulation = new RaftSimulation(3, Faults.NONE);
            SplittableRandom random = new SplittableRandom(seed);
            for (int step = 0; step < 6_000; step++) {
                simulation.step(random.nextInt(MAX_STEP));
            }
            simulation.settle();
            committed += simulation.committedCount();
        }
        assertThat(committed).isGreaterThan(1_000);
    }

    /** Skips syncs on purpose: the simulation's checks must detect the data lost in crashes. */
    @Test
    void aSkippedSyncIsDetected() {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 40; seed++) {
                RaftSimulation simulation = new RaftSimulation(3, Faults.SYNCS_SKIPPED);
                SplittableRandom random = new SplittableRandom(seed);
                for (int step = 0; step < 6_000; step++) {
                    simulation.step(random.nextInt(MAX_STEP));
                }
                simulation.settle();
            }
        });
    }

    @Test
    void losingOneDiskAtATimeLosesNoCommittedEntry() {
        int committed = 0;
        int diskLosses = 0;
        for (long seed = 1; seed <= 150; seed++) {
            RaftSimulation simulation = runRandomly(seed, Faults.DISKS_LOST);
            committed += simulation.committedCount();
            diskLosses += simulation.diskLossCount();
        }
        assertThat(committed).isGreaterThan(1_000);
        assertThat(diskLosses).isGreaterThan(150);
    }

    /** Lets a voter that lost its disk vote again on purpose: the simulation's checks must detect it. */
    @Test
    void aWipedVoterUnderItsOldNameIsDetected() {
        assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 150; seed++) {
                runRandomly(seed, Faults.DISKS_LOST_AND_NAMES_KEPT);
            }
        });
    }

    private static RaftSimulation runRandomly(long seed, Faults faults) {
        RaftSimulation simulation = new RaftSimulation(3, faults);
        SplittableRandom random = new SplittableRandom(seed);
        for (int step = 0; step < 6_000; step++) {
            simulation.step(random.nextInt(MAX_STEP));
        }
        simulation.settle();
        return simulation;
    }

    private static void run(RaftSimulation simulation, List<Integer> schedule) {
        schedule.forEach(simulation::step);
        simulation.settle();
    }
}
