package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class HostCapacityTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final HostCapacity holder = new HostCapacity();

    @Test
    void isLaggingWhileTheReportedLagIsHigh() {
        assertThat(holder.isLagging(0)).isFalse();
        holder.record(80 * MILLI, 0);
        assertThat(holder.isLagging(MILLI)).isTrue();
        holder.record(2 * MILLI, SECOND);
        assertThat(holder.isLagging(SECOND)).isFalse();
    }

    @Test
    void aLagNearTheThresholdDoesNotFlap() {
        holder.record(24 * MILLI, 0);
        assertThat(holder.isLagging(0)).isFalse();
        holder.record(26 * MILLI, SECOND);
        for (int report = 1; report < 10; report++) {
            holder.record((report % 2 == 0 ? 26 : 20) * MILLI, SECOND + report * 100L * MILLI);
            assertThat(holder.isLagging(SECOND + report * 100L * MILLI)).isTrue();
        }
    }

    @Test
    void reportsExpire() {
        holder.record(SECOND, 0);
        assertThat(holder.isLagging(2 * SECOND)).isTrue();
        assertThat(holder.isLagging(3 * SECOND)).isFalse();
        holder.record(20 * MILLI, 4 * SECOND);
        assertThat(holder.isLagging(4 * SECOND)).isFalse();
    }

    @Test
    void acceptsExtremeValues() {
        holder.record(-SECOND, 0);
        assertThat(holder.isLagging(MILLI)).isFalse();
        holder.record(Long.MAX_VALUE, MILLI);
        assertThat(holder.isLagging(2 * MILLI)).isTrue();
    }
}
