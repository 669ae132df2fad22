package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against an idle host that samples often, and against pauses that remain undetected. */
final class LagSamplingPeriodTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    @Test
    void samplesOftenOnlyWhileThereIsWork() {
        LagSamplingPeriod period = new LagSamplingPeriod();
        assertThat(period.next(0)).isEqualTo(LagSamplingPeriod.IDLE_PERIOD);
        period.onWork(1_000 * MILLI);
        assertThat(period.next(1_000 * MILLI)).isEqualTo(LagSamplingPeriod.BUSY_PERIOD);
        assertThat(period.next(1_299 * MILLI)).isEqualTo(LagSamplingPeriod.BUSY_PERIOD);
        assertThat(period.next(1_300 * MILLI)).isEqualTo(LagSamplingPeriod.IDLE_PERIOD);
    }

    @Test
    void rareQueriesCauseFewSamples() {
        LagSamplingPeriod period = new LagSamplingPeriod();
        int samples = 0;
        long nextQueryNanos = 0;
        for (long nowNanos = 0;
                nowNanos < 60_000 * MILLI;
                nowNanos += period.next(nowNanos).toNanos()) {
            if (nowNanos >= nextQueryNanos) {
                period.onWork(nowNanos);
                nextQueryNanos += 2_000 * MILLI;
            }
            samples++;
        }
        assertThat(samples).isLessThan(1_000);
    }

    @Test
    void detectsAPauseWithEitherPeriod() {
        for (Duration period : new Duration[] {LagSamplingPeriod.BUSY_PERIOD, LagSamplingPeriod.IDLE_PERIOD}) {
            EventLoopLag lag = EventLoopLag.create(LagSamplingPeriod.BUSY_PERIOD);
            lag.onTaskRun(0, period);
            assertThat(lag.lagNanos(period.toNanos())).isEqualTo(0);
            assertThat(lag.lagNanos(period.toNanos() + 500 * MILLI)).isEqualTo(500 * MILLI);
            lag.onTaskRun(period.toNanos() + 500 * MILLI, LagSamplingPeriod.BUSY_PERIOD);
            assertThat(lag.lagNanos(period.toNanos() + 501 * MILLI)).isEqualTo(500 * MILLI);
        }
    }
}
