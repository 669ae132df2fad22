package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A schedule that showed a fault of its own. */
final class HarmOpenScheduleTest {
    /**
     * Many ask for one request while all leafs end and connections are reset. A trial is answered, and two arrivals
     * were refused until the report of its host was agreed on.
     */
    @Test
    void anInnocentRequestIsNotRefusedWhileATrialBringsNothing() {
        int seed = 729;
        HarmWorld world = new HarmWorld(seed, HarmScheduleTest.drawn(seed), 0, HarmWorld.Plant.NONE);
        assertThat(world.play().innocentsRefused()).isEqualTo(0);
    }

    @Test
    void trialsThatKeepOthersWaitingAreFound() {
        int seed = 729;
        HarmWorld world = new HarmWorld(seed, HarmScheduleTest.drawn(seed), 0, HarmWorld.Plant.TRIALS_HELD);
        assertThat(world.play().innocentsRefused()).isGreaterThan(0);
    }
}
