package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** One query in two seconds: the host looks often while it lasts and seldom otherwise. */
final class LagPeriodTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();

    @Test
    void aHostLooksOftenOnlyWhileThereIsWork() {
        LagPeriod period = new LagPeriod();
        assertThat(period.next(0)).isEqualTo(LagPeriod.AT_REST);
        period.workCame(1_000 * MILLI);
        assertThat(period.next(1_000 * MILLI)).isEqualTo(LagPeriod.AT_WORK);
        assertThat(period.next(1_299 * MILLI)).isEqualTo(LagPeriod.AT_WORK);
        assertThat(period.next(1_300 * MILLI)).isEqualTo(LagPeriod.AT_REST);
    }

    @Test
    void itLooksAFifthAsOftenWithAQueryInTwoSecondsAsWithoutEnd() {
        LagPeriod period = new LagPeriod();
        int looks = 0;
        long nextQueryNanos = 0;
        for (long nowNanos = 0;
                nowNanos < 60_000 * MILLI;
                nowNanos += period.next(nowNanos).toNanos()) {
            if (nowNanos >= nextQueryNanos) {
                period.workCame(nowNanos);
                nextQueryNanos += 2_000 * MILLI;
            }
            looks++;
        }
        assertThat(looks).isLessThan(1_000);
    }

    /** A host that was stopped for longer than it meant to rest knows it, whichever period it rested for. */
    @Test
    void aStopIsSeenWhicheverThePeriod() {
        for (Duration period : new Duration[] {LagPeriod.AT_WORK, LagPeriod.AT_REST}) {
            HostLag lag = HostLag.create(LagPeriod.AT_WORK);
            lag.taskRuns(0, period);
            assertThat(lag.nanos(period.toNanos())).isEqualTo(0);
            assertThat(lag.nanos(period.toNanos() + 500 * MILLI)).isEqualTo(500 * MILLI);
            lag.taskRuns(period.toNanos() + 500 * MILLI, LagPeriod.AT_WORK);
            assertThat(lag.nanos(period.toNanos() + 501 * MILLI)).isEqualTo(500 * MILLI);
        }
    }
}
