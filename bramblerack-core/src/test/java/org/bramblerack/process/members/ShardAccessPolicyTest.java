package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Loads of two kinds of fleet: 18 hosts that take 8 queries a second together, and 8 hosts that take 63, as the users'
 * smallest and busiest fleets do.
 */
final class ShardAccessPolicyTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final int QUIET = 8 * 60;
    private static final int BUSY = 63 * 60;

    private final ShardAccessPolicy policy = new ShardAccessPolicy();
    private boolean throughHolders;
    private int changes;

    @Test
    void hostsThatTakeFewQueriesEachGoThroughHolders() {
        run(0, 20, 18, OptionalInt.of(QUIET));
        assertThat(throughHolders).isTrue();
        assertThat(changes).isEqualTo(1);
    }

    @Test
    void hostsThatTakeManyConnectThemselves() {
        run(0, 20, 8, OptionalInt.of(BUSY));
        assertThat(throughHolders).isFalse();
        throughHolders = true;
        run(20, 40, 8, OptionalInt.of(BUSY));
        assertThat(throughHolders).isFalse();
    }

    @Test
    void nothingChangesBeforeCallersCome() {
        run(0, 60, 8, OptionalInt.of(0));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void nothingChangesWhileSomeHostsHaveNotToldTheirRate() {
        run(0, 60, 18, OptionalInt.empty());
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void aFleetThatIsDownForAMomentKeepsWhatIsInForce() {
        run(0, 10, 8, OptionalInt.of(BUSY));
        run(10, 13, 8, OptionalInt.of(QUIET));
        run(13, 20, 8, OptionalInt.of(BUSY));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void aRateBetweenTheLimitsMovesNothing() {
        run(0, 30, 10, OptionalInt.of(10 * 3 * 60));
        throughHolders = true;
        run(30, 60, 10, OptionalInt.of(10 * 3 * 60));
        assertThat(changes).isEqualTo(0);
    }

    @Test
    void aRateThatSwingsChangesLittle() {
        for (int round = 0; round < 12; round++) {
            run(10 * round, 10 * round + 10, 10, OptionalInt.of(10 * 60 * (round % 2 == 0 ? 1 : 6)));
        }
        assertThat(changes).isAtMost(120 / (int) ShardAccessPolicy.LEAST_KEPT.toSeconds());
    }

    private void run(int fromSecond, int toSecond, int hosts, OptionalInt queriesAMinute) {
        for (int second = fromSecond; second < toSecond; second++) {
            Optional<Boolean> change = policy.decide(throughHolders, hosts, queriesAMinute, second * SECOND);
            if (change.isPresent()) {
                throughHolders = change.get();
                changes++;
            }
        }
    }
}
