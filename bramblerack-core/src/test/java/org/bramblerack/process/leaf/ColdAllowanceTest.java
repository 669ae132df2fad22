package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against more requests to a cold leaf than its limit while two hosts consider themselves designated, of which
 * both restart, pause and receive bursts of requests.
 */
final class ColdAllowanceTest {
    private static final int SCHEDULES = 10_000;
    private static final int STEPS = 400;
    private static final double DECLARED_PER_SECOND = 8;
    private static final double LIMIT = new ColdRequestLimit(1.5, 5).maxPerSecond(DECLARED_PER_SECOND);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void noSecondExceedsTheLimit() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            assertWithMessage("seed %s", seed)
                    .that(maxInASecond(seed, Duration.ZERO))
                    .isAtMost(LIMIT);
        }
    }

    /** The schedules detect a host that starts with tokens. */
    @Test
    void detectsAHostThatStartsWithTokens() {
        int found = 0;
        for (int seed = 0; seed < SCHEDULES / 100; seed++) {
            found += maxInASecond(seed, Duration.ofSeconds(9)) > LIMIT ? 1 : 0;
        }
        assertThat(found).isGreaterThan(10);
    }

    @Test
    void oneHostCanUseHalfOfTheLimit() {
        ColdAllowance allowance = new ColdAllowance(LIMIT, 0);
        int sent = 0;
        for (long at = 0; at < 10 * SECOND; at += SECOND / 1_000) {
            sent += allowance.tryAcquire(at) ? 1 : 0;
        }
        assertThat(sent).isAtLeast((int) (10 * (LIMIT / 2 - 1)) - 1);
    }

    @Test
    void aHostThatIsNotDesignatedSendsNothingToAColdLeaf() {
        Leaf leaf = new Leaf("l", "s", "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ofSeconds(3), 0);
        assertThat(leaf.tryAdmit(1)).isTrue();
        leaf.limitColdRequests(LIMIT, false, 1);
        assertThat(leaf.tryAdmit(SECOND)).isFalse();
        assertThat(leaf.isBlockedWhileCold(SECOND)).isTrue();
        assertThat(leaf.tryAdmit(3 * SECOND)).isTrue();
        leaf.markCold(Duration.ofSeconds(1), 4 * SECOND);
        assertThat(leaf.tryAdmit(4 * SECOND + 1)).isFalse();
        leaf.limitColdRequests(LIMIT, true, 4 * SECOND);
        assertThat(leaf.tryAdmit(4 * SECOND + SECOND / 2)).isTrue();
    }

    private static double maxInASecond(int seed, Duration refilledBefore) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Optional<ColdAllowance>> senders = new ArrayList<>(List.of(Optional.empty(), Optional.empty()));
        Deque<Long> lastSecond = new ArrayDeque<>();
        long nowNanos = 0;
        int most = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(20) == 0 ? random.nextLong(SECOND) : random.nextLong(SECOND / 50);
            int host = random.nextInt(senders.size());
            if (senders.get(host).isEmpty() || random.nextInt(15) == 0) {
                senders.set(host, Optional.of(new ColdAllowance(LIMIT, nowNanos - refilledBefore.toNanos())));
            }
            while (!lastSecond.isEmpty() && nowNanos - lastSecond.peekFirst() >= SECOND) {
                lastSecond.pollFirst();
            }
            for (int request = random.nextInt(30); request > 0; request--) {
                if (senders.get(host).orElseThrow().tryAcquire(nowNanos)) {
                    lastSecond.addLast(nowNanos);
                }
            }
            most = Math.max(most, lastSecond.size());
        }
        return most;
    }
}
