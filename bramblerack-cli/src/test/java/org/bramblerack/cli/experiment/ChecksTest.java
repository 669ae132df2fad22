package org.bramblerack.cli.experiment;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Violates each invariant of a run once and expects that {@link Checks} reports it. */
final class ChecksTest {
    private static final Arrival ARRIVAL = new Arrival(7, SmallExperiment.LOAD, 0, 1, 0);

    private final Checks checks = new Checks(SmallExperiment.FLEET);

    @Test
    void aRequestThatRunsOnTooManyLeafsIsFound() {
        for (int leaf = 0; leaf < 3; leaf++) {
            checks.recordArrival(ARRIVAL, 2, leaf);
        }
        assertThat(checks.finish(ImmutableList.of())).containsExactly("request 7/shard-2 may run on 3 leaves");
    }

    @Test
    void aLeafThatDidNotRunItDoesNotCount() {
        checks.recordArrival(ARRIVAL, 2, 0);
        checks.recordNotRun(ARRIVAL, "shard-2");
        checks.recordArrival(ARRIVAL, 2, 1);
        checks.recordArrival(ARRIVAL, 2, 2);
        assertThat(checks.finish(ImmutableList.of())).isEmpty();
    }

    @Test
    void aRequestThatEndsTwiceIsFound() {
        checks.recordEnd(ARRIVAL);
        checks.recordEnd(ARRIVAL);
        assertThat(checks.finish(ImmutableList.of())).containsExactly("request 7 ended twice");
    }

    @Test
    void aFleetThatSpendsMoreThanItsBudgetIsFound() {
        int slack = SmallExperiment.FLEET.budget().slack();
        for (int number = 0; number < slack + 20; number++) {
            Arrival arrival = new Arrival(number, SmallExperiment.LOAD, 0, 1, 0);
            checks.recordArrival(arrival, 0, number);
            checks.recordArrival(arrival, 0, number);
        }
        assertThat(checks.finish(ImmutableList.of())).hasSize(1);
    }

    @Test
    void aLeafWithTooManyConnectionsIsFound() {
        ModelLeaf leaf = new ModelLeaf(
                "leaf", 0, "west", 1, SmallExperiment.FLEET, new SimulatedTime(), new SplittableRandom(1));
        for (int connection = 0; connection <= SmallExperiment.FLEET.connections(); connection++) {
            leaf.connected();
        }
        assertThat(checks.finish(ImmutableList.of(leaf))).containsExactly("leaf leaf had 27 connections");
    }
}
