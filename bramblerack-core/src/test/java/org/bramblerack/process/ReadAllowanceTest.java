package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class ReadAllowanceTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final ReadAllowance allowance = new ReadAllowance(100, 50, 0);

    @Test
    void aBurstIsReadWithoutAPause() {
        assertThat(allowance.recordRead(50, 0)).isEqualTo(0);
    }

    /** Whichever connections read, together they do not exceed the rate. */
    @Test
    void readingPausesUntilTheRateIsKept() {
        long nowNanos = 0;
        long bytes = 0;
        while (nowNanos < 10 * SECOND) {
            nowNanos += allowance.recordRead(30, nowNanos);
            bytes += 30;
        }
        assertThat(bytes).isAtMost(100 * 10 + 50 + 30);
        assertThat(bytes).isAtLeast(100 * 10);
    }

    @Test
    void anIdleAllowanceHoldsNoMoreThanABurst() {
        assertThat(allowance.recordRead(60, 100 * SECOND)).isEqualTo(SECOND / 10);
    }
}
