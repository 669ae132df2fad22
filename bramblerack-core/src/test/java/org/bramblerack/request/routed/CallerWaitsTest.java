package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class CallerWaitsTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long TIMEOUT = 3 * SECOND;

    private final CallerWaits waits = new CallerWaits();

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
    void whereCallersNeverWaitAsLongAsTheTimeOutTheLongestThatWasSeenCounts() {
        used(SECOND, 0);
        used(SECOND, 11 * SECOND);
        assertThat(used(SECOND, 12 * SECOND)).isEqualTo(0);
        assertThat(used(SECOND / 2, 13 * SECOND)).isEqualTo(SECOND / 2);
    }

    @Test
    void theLongestWaitIsForgottenAfterTwoWindows() {
        used(2 * SECOND, 0);
        used(SECOND, 11 * SECOND);
        assertThat(used(SECOND, 12 * SECOND)).isEqualTo(SECOND);
        used(SECOND, 22 * SECOND);
        assertThat(used(SECOND, 23 * SECOND)).isEqualTo(0);
    }

    @Test
    void routesAreKeptApart() {
        used(2 * SECOND, 0);
        used(SECOND, 11 * SECOND);
        assertThat(waits.usedNanos("other", TIMEOUT, TIMEOUT, 12 * SECOND)).isEqualTo(0);
    }

    private long used(long waitNanos, long nowNanos) {
        return waits.usedNanos("route", waitNanos, TIMEOUT, nowNanos);
    }
}
