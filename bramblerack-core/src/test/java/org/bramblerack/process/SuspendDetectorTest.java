package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against suspensions that are missed or wrongly reported. */
final class SuspendDetectorTest {
    private static final long WALL_MILLIS = 1_700_000_000_000L;
    private final SuspendDetector detector = new SuspendDetector(Duration.ofMillis(400), 0, WALL_MILLIS);

    @Test
    void detectsWhenTheWallClockAdvancesMore() {
        assertThat(detector.wasSuspended(nanos(100), WALL_MILLIS + 100)).isFalse();
        assertThat(detector.wasSuspended(nanos(150), WALL_MILLIS + 2_150)).isTrue();
        assertThat(detector.wasSuspended(nanos(200), WALL_MILLIS + 2_200)).isFalse();
    }

    @Test
    void ignoresALongTimeThatBothClocksCount() {
        assertThat(detector.wasSuspended(nanos(5_000), WALL_MILLIS + 5_010)).isFalse();
    }

    @Test
    void ignoresAWallClockThatIsSetBack() {
        assertThat(detector.wasSuspended(nanos(100), WALL_MILLIS - 3_000)).isFalse();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
