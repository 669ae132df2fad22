package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against innocent requests that are refused after an answered trial. */
final class HarmOpenScheduleTest {
    /** All leaves end and connections are reset while one request is popular. */
    @Test
    void anInnocentRequestIsNotRefusedAfterAnAnsweredTrial() {
        int seed = 729;
        HarmWorld world = new HarmWorld(seed, HarmScheduleTest.randomTroubles(seed), 0, HarmWorld.InjectedFault.NONE);
        assertThat(world.run().innocentsRefused()).isEqualTo(0);
    }

    @Test
    void detectsTrialsThatAreNotEnded() {
        int seed = 729;
        HarmWorld world =
                new HarmWorld(seed, HarmScheduleTest.randomTroubles(seed), 0, HarmWorld.InjectedFault.TRIALS_NOT_ENDED);
        assertThat(world.run().innocentsRefused()).isGreaterThan(0);
    }
}
