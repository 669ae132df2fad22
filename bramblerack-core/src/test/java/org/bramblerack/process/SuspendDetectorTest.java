package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What two clocks tell of the time in which neither was looked at. */
final class SuspendDetectorTest {
    private static final long DAY_MILLIS = 1_700_000_000_000L;
    private final SuspendDetector watch = new SuspendDetector(Duration.ofMillis(400), 0, DAY_MILLIS);

    @Test
    void timeThatOnlyTheTimeOfDayCountsWasASuspension() {
        assertThat(watch.wasSuspended(nanos(100), DAY_MILLIS + 100)).isFalse();
        assertThat(watch.wasSuspended(nanos(150), DAY_MILLIS + 2_150)).isTrue();
        assertThat(watch.wasSuspended(nanos(200), DAY_MILLIS + 2_200)).isFalse();
    }

    @Test
    void longTimeThatBothCountWasNone() {
        assertThat(watch.wasSuspended(nanos(5_000), DAY_MILLIS + 5_010)).isFalse();
    }

    @Test
    void aTimeOfDayThatIsSetBackTellsNothing() {
        assertThat(watch.wasSuspended(nanos(100), DAY_MILLIS - 3_000)).isFalse();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
