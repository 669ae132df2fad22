package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that the election timeout is shorter until the first leader contact. */
final class ElectionTimerTest {
    private static final long ELECTION_TIMEOUT_NANOS = Duration.ofMillis(400).toNanos();

    @Test
    void theFirstElectionTimeoutIsShorter() {
        for (int seed = 0; seed < 100; seed++) {
            ElectionTimer timer = new ElectionTimer(ELECTION_TIMEOUT_NANOS, new SplittableRandom(seed), 0);
            assertThat(timer.isDue(ELECTION_TIMEOUT_NANOS / 8)).isFalse();
            assertThat(timer.isDue(ELECTION_TIMEOUT_NANOS / 2)).isTrue();
        }
    }

    @Test
    void theFullElectionTimeoutAppliesAfterLeaderContact() {
        for (int seed = 0; seed < 100; seed++) {
            ElectionTimer timer = new ElectionTimer(ELECTION_TIMEOUT_NANOS, new SplittableRandom(seed), 0);
            timer.recordLeaderContact(0);
            assertThat(timer.isDue(ELECTION_TIMEOUT_NANOS - 1)).isFalse();
            assertThat(timer.isDue(2 * ELECTION_TIMEOUT_NANOS)).isTrue();
        }
    }
}
