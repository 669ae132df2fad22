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
 * What a cold leaf gets in any second, from a host that is cut off and still takes itself for the one that may send,
 * and from the one that took its place, both of which restart, freeze and are flooded with requests at any moment.
 */
final class ColdAllowanceTest {
    private static final int SCHEDULES = 10_000;
    private static final int STEPS = 400;
    private static final double MADE_FOR = 8;
    private static final double BOUND = new ColdRequestLimit(1.5, 5).mostPerSecond(MADE_FOR);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    @Test
    void noSecondHasMoreThanTheLeafBears() {
        for (int seed = 0; seed < SCHEDULES; seed++) {
            assertWithMessage("seed %s", seed)
                    .that(mostInASecond(seed, Duration.ZERO))
                    .isAtMost(BOUND);
        }
    }

    /** The check sees a host that begins each life with something saved. */
    @Test
    void aHostThatBeginsWithSomethingSavedIsFound() {
        int found = 0;
        for (int seed = 0; seed < SCHEDULES / 100; seed++) {
            found += mostInASecond(seed, Duration.ofSeconds(9)) > BOUND ? 1 : 0;
        }
        assertThat(found).isGreaterThan(10);
    }

    @Test
    void aHostAloneHasItsHalf() {
        ColdAllowance alone = new ColdAllowance(BOUND, 0);
        int sent = 0;
        for (long at = 0; at < 10 * SECOND; at += SECOND / 1_000) {
            sent += alone.tryAcquire(at) ? 1 : 0;
        }
        assertThat(sent).isAtLeast((int) (10 * (BOUND / 2 - 1)) - 1);
    }

    @Test
    void aHostThatMayNotSendSendsNothingWhileTheLeafIsCold() {
        Leaf leaf = new Leaf("l", "s", "10.0.0.1:1", Distance.SAME_ZONE, 2, Duration.ofSeconds(3), 0);
        assertThat(leaf.tryAdmit(1)).isTrue();
        leaf.limitColdRequests(BOUND, false, 1);
        assertThat(leaf.tryAdmit(SECOND)).isFalse();
        assertThat(leaf.isBlockedWhileCold(SECOND)).isTrue();
        assertThat(leaf.tryAdmit(3 * SECOND)).isTrue();
        leaf.markCold(Duration.ofSeconds(1), 4 * SECOND);
        assertThat(leaf.tryAdmit(4 * SECOND + 1)).isFalse();
        leaf.limitColdRequests(BOUND, true, 4 * SECOND);
        assertThat(leaf.tryAdmit(4 * SECOND + SECOND / 2)).isTrue();
    }

    private static double mostInASecond(int seed, Duration savedBefore) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Optional<ColdAllowance>> spenders = new ArrayList<>(List.of(Optional.empty(), Optional.empty()));
        Deque<Long> lastSecond = new ArrayDeque<>();
        long nowNanos = 0;
        int most = 0;
        for (int step = 0; step < STEPS; step++) {
            nowNanos += random.nextInt(20) == 0 ? random.nextLong(SECOND) : random.nextLong(SECOND / 50);
            int host = random.nextInt(spenders.size());
            if (spenders.get(host).isEmpty() || random.nextInt(15) == 0) {
                spenders.set(host, Optional.of(new ColdAllowance(BOUND, nowNanos - savedBefore.toNanos())));
            }
            while (!lastSecond.isEmpty() && nowNanos - lastSecond.peekFirst() >= SECOND) {
                lastSecond.pollFirst();
            }
            for (int request = random.nextInt(30); request > 0; request--) {
                if (spenders.get(host).orElseThrow().tryAcquire(nowNanos)) {
                    lastSecond.addLast(nowNanos);
                }
            }
            most = Math.max(most, lastSecond.size());
        }
        return most;
    }
}
