package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class CallerElapsedTimeTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long TIMEOUT = 3 * SECOND;

    private final CallerElapsedTime waits = new CallerElapsedTime();

    @Test
    void atFirstTheTimeOutIsTakenForTheWaitOfAFirstTry() {
        assertThat(used(2 * SECOND, 0)).isEqualTo(SECOND);
        assertThat(used(TIMEOUT, 1)).isEqualTo(0);
    }

    @Test
    void callersWhoWaitLongerThanTheTimeOutHaveUsedNothing() {
        assertThat(used(10 * SECOND, 0)).isEqualTo(0);
    }

    @Test
    void whereCallersNeverWaitAsLongAsTheTimeOutTheLongestThatWasSeenCountsSoon() {
        for (int call = 0; call < 15; call++) {
            assertThat(used(SECOND, call)).isEqualTo(2 * SECOND);
        }
        assertThat(used(SECOND, 15)).isEqualTo(0);
        assertThat(used(SECOND / 2, 16)).isEqualTo(SECOND / 2);
    }

    @Test
    void theLongestWaitIsForgottenAfterTwoWindows() {
        used(2 * SECOND, 0);
        for (int call = 0; call < 15; call++) {
            used(SECOND, 1);
        }
        assertThat(used(SECOND, 2)).isEqualTo(SECOND);
        assertThat(used(SECOND, 12 * SECOND)).isEqualTo(SECOND);
        assertThat(used(SECOND, 24 * SECOND)).isEqualTo(0);
    }

    @Test
    void routesAreKeptApart() {
        for (int call = 0; call < 20; call++) {
            used(SECOND, call);
        }
        assertThat(waits.elapsedNanos("other", TIMEOUT, TIMEOUT, 20)).isEqualTo(0);
        assertThat(waits.elapsedNanos("other", SECOND, TIMEOUT, 21)).isEqualTo(2 * SECOND);
    }

    private long used(long waitNanos, long nowNanos) {
        return waits.elapsedNanos("route", waitNanos, TIMEOUT, nowNanos);
    }
}
