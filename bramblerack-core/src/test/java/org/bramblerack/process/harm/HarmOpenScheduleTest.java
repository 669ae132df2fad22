package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** A schedule that shows a fault which is not mended yet. */
final class HarmOpenScheduleTest {
    /**
     * Seen: two arrivals of a request that many ask for are refused while all leafs end and connections are reset. The
     * call of a trial breaks for another reason than the request, and nobody else may be tried for 1.5 s.
     */
    @Test
    void anInnocentRequestIsNotRefusedWhileATrialBringsNothing() {
        int seed = 729;
        HarmWorld world = new HarmWorld(seed, HarmScheduleTest.drawn(seed), 0, HarmWorld.Plant.NONE);
        assertThat(world.play().innocentsRefused()).isEqualTo(0);
    }
}
