package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class EventRateTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void reportsASteadyRate() {
        EventRate rate = new EventRate(7 * SECOND);
        for (int second = 7; second < 30; second++) {
            rate.record(second * SECOND);
            rate.record(second * SECOND + SECOND / 2);
        }
        assertThat(rate.perMinute(29 * SECOND + SECOND / 2)).isEqualTo(120);
    }

    @Test
    void dropsEventsOutsideTheWindow() {
        EventRate rate = new EventRate(0);
        rate.record(SECOND);
        assertThat(rate.perMinute(2 * SECOND)).isGreaterThan(0);
        assertThat(rate.perMinute(7 * SECOND)).isEqualTo(0);
        assertThat(rate.perMinute(700 * SECOND)).isEqualTo(0);
    }
}
