package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class CallerElapsedTimeTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long TIMEOUT = 3 * SECOND;

    private final CallerElapsedTime elapsedTime = new CallerElapsedTime();

    @Test
    void initiallyTheTimeoutIsTheAssumedWait() {
        assertThat(elapsed(2 * SECOND, 0)).isEqualTo(SECOND);
        assertThat(elapsed(TIMEOUT, 1)).isEqualTo(0);
    }

    @Test
    void waitsBeyondTheTimeoutCountAsNoTimeElapsed() {
        assertThat(elapsed(10 * SECOND, 0)).isEqualTo(0);
    }

    @Test
    void theLongestWaitReplacesTheTimeoutAfterEnoughSamples() {
        for (int call = 0; call < 15; call++) {
            assertThat(elapsed(SECOND, call)).isEqualTo(2 * SECOND);
        }
        assertThat(elapsed(SECOND, 15)).isEqualTo(0);
        assertThat(elapsed(SECOND / 2, 16)).isEqualTo(SECOND / 2);
    }

    @Test
    void theLongestWaitExpiresAfterTwoWindows() {
        elapsed(2 * SECOND, 0);
        for (int call = 0; call < 15; call++) {
            elapsed(SECOND, 1);
        }
        assertThat(elapsed(SECOND, 2)).isEqualTo(SECOND);
        assertThat(elapsed(SECOND, 12 * SECOND)).isEqualTo(SECOND);
        assertThat(elapsed(SECOND, 24 * SECOND)).isEqualTo(0);
    }

    @Test
    void routesAreIndependent() {
        for (int call = 0; call < 20; call++) {
            elapsed(SECOND, call);
        }
        assertThat(elapsedTime.elapsedNanos("other", TIMEOUT, TIMEOUT, 20)).isEqualTo(0);
        assertThat(elapsedTime.elapsedNanos("other", SECOND, TIMEOUT, 21)).isEqualTo(2 * SECOND);
    }

    private long elapsed(long waitNanos, long nowNanos) {
        return elapsedTime.elapsedNanos("route", waitNanos, TIMEOUT, nowNanos);
    }
}
