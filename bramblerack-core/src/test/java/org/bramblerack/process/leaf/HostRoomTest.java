package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class HostRoomTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final HostRoom holder = new HostRoom();

    @Test
    void aHostAtAFifthOfItsSpeedIsBehindAsLongAsItIsSlow() {
        assertThat(holder.isBehind(0)).isFalse();
        holder.told(80 * MILLI, 0);
        assertThat(holder.isBehind(MILLI)).isTrue();
        holder.told(2 * MILLI, SECOND);
        assertThat(holder.isBehind(SECOND)).isFalse();
    }

    @Test
    void aLagAroundTheBoundChangesNothingToAndFro() {
        holder.told(24 * MILLI, 0);
        assertThat(holder.isBehind(0)).isFalse();
        holder.told(26 * MILLI, SECOND);
        for (int turn = 1; turn < 10; turn++) {
            holder.told((turn % 2 == 0 ? 26 : 20) * MILLI, SECOND + turn * 100L * MILLI);
            assertThat(holder.isBehind(SECOND + turn * 100L * MILLI)).isTrue();
        }
    }

    @Test
    void wordThatIsOldSaysNothing() {
        holder.told(SECOND, 0);
        assertThat(holder.isBehind(2 * SECOND)).isTrue();
        assertThat(holder.isBehind(3 * SECOND)).isFalse();
        holder.told(20 * MILLI, 4 * SECOND);
        assertThat(holder.isBehind(4 * SECOND)).isFalse();
    }

    @Test
    void aLagThatCannotBeIsNone() {
        holder.told(-SECOND, 0);
        assertThat(holder.isBehind(MILLI)).isFalse();
        holder.told(Long.MAX_VALUE, MILLI);
        assertThat(holder.isBehind(2 * MILLI)).isTrue();
    }
}
