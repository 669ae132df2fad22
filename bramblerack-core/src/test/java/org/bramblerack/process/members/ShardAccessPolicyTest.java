package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Checks when shard access changes, with loads of a small and of a busy fleet. */
final class ShardAccessPolicyTest {
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int LOW_QUERIES_PER_MINUTE = 8 * 60;
    private static final int HIGH_QUERIES_PER_MINUTE = 63 * 60;

    private final ShardAccessPolicy policy = new ShardAccessPolicy();
    private boolean throughHolders;
    private int changes;

    @Test
    void lowRatesPerHostUseHolders() {
        run(0, 20, 18, OptionalInt.of(LOW_QUERIES_PER_MINUTE));
        assertThat(throughHolders).isTrue();
        assertThat(changes).isEqualTo(1);
    }

    @Test
    void highRatesPerHostConnectDirectly() {
        run(0, 20, 8, OptionalInt.of(HIGH_QUERIES_PER_MINUTE));
        assertThat(throughHolders).isFalse();
        throughHolders = true;
        run(20, 40, 8, OptionalInt.of(HIGH_QUERIES_PER_MINUTE));
        assertThat(throughHolders).isFalse();
    }

    @Test
    void nothingChangesWithoutLoad() {
        run(0, 60, 8, OptionalInt.of(0));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void nothingChangesUntilAllHostsHaveReported() {
        run(0, 60, 18, OptionalInt.empty());
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void aShortDropInRateChangesNothing() {
        run(0, 10, 8, OptionalInt.of(HIGH_QUERIES_PER_MINUTE));
        run(10, 13, 8, OptionalInt.of(LOW_QUERIES_PER_MINUTE));
        run(13, 20, 8, OptionalInt.of(HIGH_QUERIES_PER_MINUTE));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void aRateBetweenTheThresholdsChangesNothing() {
        run(0, 30, 10, OptionalInt.of(10 * 3 * 60));
        throughHolders = true;
        run(30, 60, 10, OptionalInt.of(10 * 3 * 60));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void anOscillatingRateChangesAccessRarely() {
        for (int round = 0; round < 12; round++) {
            run(10 * round, 10 * round + 10, 10, OptionalInt.of(10 * 60 * (round % 2 == 0 ? 1 : 6)));
        }
        assertThat(changes).isAtMost(120 / (int) ShardAccessPolicy.MIN_TIME_BETWEEN_CHANGES.toSeconds());
    }

    private void run(int fromSecond, int toSecond, int hosts, OptionalInt queriesPerMinute) {
        for (int second = fromSecond; second < toSecond; second++) {
            Optional<Boolean> change = policy.decide(throughHolders, hosts, queriesPerMinute, second * SECOND_NANOS);
            if (change.isPresent()) {
                throughHolders = change.get();
                changes++;
            }
        }
    }
}
