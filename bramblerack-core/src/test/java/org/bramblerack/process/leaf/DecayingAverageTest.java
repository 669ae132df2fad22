package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class DecayingAverageTest {
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);
    private static final long SECOND = HALF_LIFE.toNanos();

    @Test
    void approachesTheObservedValue() {
        DecayingAverage average = new DecayingAverage(1, 0.5, HALF_LIFE, 0);
        assertThat(average.at(0)).isEqualTo(1.0);
        average.observe(3, 0);
        assertThat(average.at(0)).isEqualTo(2.0);
        average.observe(3, 0);
        assertThat(average.at(0)).isEqualTo(2.5);
    }

    @Test
    void decaysByHalfAfterTheHalfLife() {
        DecayingAverage average = new DecayingAverage(1, 1, HALF_LIFE, 0);
        average.observe(9, 0);
        assertThat(average.at(SECOND)).isEqualTo(5.0);
        assertThat(average.at(1000 * SECOND)).isWithin(0.01).of(1);
    }

    @Test
    void observationsApplyToTheDecayedValue() {
        DecayingAverage average = new DecayingAverage(0, 0.5, HALF_LIFE, 0);
        average.observe(8, 0);
        average.observe(0, SECOND);
        assertThat(average.at(SECOND)).isEqualTo(1.0);
    }

    @Test
    void rejectsInvalidParameters() {
        assertThrows(IllegalArgumentException.class, () -> new DecayingAverage(0, 0, HALF_LIFE, 0));
        assertThrows(IllegalArgumentException.class, () -> new DecayingAverage(0, 1.5, HALF_LIFE, 0));
        assertThrows(IllegalArgumentException.class, () -> new DecayingAverage(0, 0.5, Duration.ZERO, 0));
    }
}
