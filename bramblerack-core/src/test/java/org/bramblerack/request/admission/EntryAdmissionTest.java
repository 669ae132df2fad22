package org.bramblerack.request.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What each class and team gets at a host that has more to do than it can, by the pattern of the load. */
final class EntryAdmissionTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long LOOK_NANOS = EntryAdmission.LAG_THRESHOLD.toNanos();
    private static final int URGENT = 0;
    private static final int USUAL = 1;

    private final SplittableRandom random = new SplittableRandom(1);
    private final EntryAdmission<String> room = new EntryAdmission<>(0, Duration.ofNanos(200_000), random);
    private final Map<String, Integer> asked = new HashMap<>();
    private final Map<String, Integer> begun = new HashMap<>();
    private final Map<String, Integer> refused = new HashMap<>();
    private final List<Duration> retries = new ArrayList<>();
    private final List<String> order = new ArrayList<>();
    private long nowNanos;
    private long lagNanos;
    private int number;

    @Test
    void aHostThatIsNotLaggingStartsEveryRequestAtOnce() {
        for (int each = 0; each < 1_000; each++) {
            arrive("hot", USUAL, 1, 90, 500);
            nowNanos += MILLI;
        }
        assertThat(begun).containsExactly("hot-1", 1_000);
    }

    /** A stop of the runtime, or a start of a process beside it: one request comes meanwhile. */
    @Test
    void aRequestThatComesAloneBeginsAtOnceAlsoOnAHostThatIsBehind() {
        nowNanos = LOOK_NANOS;
        lagNanos = 100 * MILLI;
        arrive("a", USUAL, 1, 90, 500);
        assertThat(begun).containsExactly("a-1", 1);
    }

    @Test
    void aBurstOfTheUrgentClassGoesBeforeTheUsualOneWhichGetsAQuarter() {
        lagNanos = 30 * MILLI;
        for (int look = 0; look < 400; look++) {
            arrive("a", URGENT, 1, 90, 1_500);
            arrive("a", USUAL, 1, 90, 2_500);
            look();
        }
        assertThat(share("a-0")).isAtLeast(0.7);
        assertThat(share("a-1")).isAtLeast(0.2);
        // A quarter of the rate at which all are served is the least that a class may get.
        assertThat(share("a-1")).isAtLeast(0.25 * 0.5);
    }

    @Test
    void urgentWorkWaitsForAtMostOneOfLowerRank() {
        lagNanos = 30 * MILLI;
        for (int each = 0; each < 40; each++) {
            arrive("a", USUAL, 1, 90, 60_000);
        }
        for (int each = 0; each < 12; each++) {
            arrive("a", URGENT, 1, 90, 60_000);
        }
        for (int look = 0; look < 16; look++) {
            look();
        }
        assertThat(begunOf("a-0")).isEqualTo(12);
        for (int place = 0; place + 1 < 14; place++) {
            boolean twoLower =
                    order.get(place).endsWith("-1") && order.get(place + 1).endsWith("-1");
            assertThat(twoLower).isFalse();
        }
    }

    @Test
    void oneTeamAtManyTimesItsUsualTakesNothingFromTheOthers() {
        for (int times : new int[] {4, 7, 10}) {
            EntryAdmissionTest day = new EntryAdmissionTest();
            day.lagNanos = 30 * MILLI;
            for (int look = 0; look < 1_000; look++) {
                for (int each = 0; each < times && look % 5 == 0; each++) {
                    day.arrive("hot", USUAL, 1, 90, 1_000);
                }
                if (look % 5 == 1) {
                    day.arrive("b", USUAL, 1, 90, 1_000);
                }
                if (look % 5 == 3) {
                    day.arrive("c", USUAL, 1, 90, 1_000);
                }
                day.look();
            }
            assertThat(day.share("b-1")).isAtLeast(0.98);
            assertThat(day.share("c-1")).isAtLeast(0.98);
            // What the others leave.
            assertThat(day.begunOf("hot-1")).isAtLeast(550);
        }
    }

    @Test
    void theRoomIsSharedByTheLimitsOfTheTeams() {
        lagNanos = 30 * MILLI;
        for (int look = 0; look < 1_000; look++) {
            arrive("large", USUAL, 30, 90, 1_000);
            arrive("small", USUAL, 10, 90, 1_000);
            look();
        }
        double ratio = begunOf("large-1") / (double) begunOf("small-1");
        assertThat(ratio).isWithin(0.3).of(3);
    }

    /** Three in ten callers come again at once with what was refused, up to five times. */
    @Test
    void callersThatComeAgainAtOnceGainNothing() {
        lagNanos = 30 * MILLI;
        for (int look = 0; look < 2_000; look++) {
            arrive("patient", USUAL, 1, 90, 400);
            int before = refused.getOrDefault("insistent-1", 0);
            arrive("insistent", USUAL, 1, 90, 400);
            for (int again = 0; again < 5 && refused.getOrDefault("insistent-1", 0) > before; again++) {
                before++;
                arrive("insistent", USUAL, 1, 90, 400);
            }
            look();
        }
        assertThat(begunOf("insistent-1")).isAtMost((int) (1.02 * begunOf("patient-1")));
    }

    /** Everybody comes back after two seconds without power: half of them have no goal left. */
    @Test
    void afterASilenceThoseThatCanStillBeInTimeGoFirst() {
        lagNanos = 30 * MILLI;
        nowNanos = 1_000 * MILLI;
        for (int each = 0; each < 20; each++) {
            arrive("late" + each, USUAL, 1, 90, 3_000, -1);
            arrive("fresh" + each, USUAL, 1, 90, 3_000, 2_000);
        }
        // The first of all came alone.
        for (int look = 0; look < 20; look++) {
            look();
        }
        assertThat(order.stream().filter(each -> each.startsWith("fresh")).count())
                .isEqualTo(20);
    }

    @Test
    void whatCannotBeAnsweredInTimeIsRefusedAtOnceAndNotTogether() {
        lagNanos = 30 * MILLI;
        for (int each = 0; each < 100; each++) {
            arrive("a", USUAL, 1, 90, 600);
        }
        assertThat(refused.getOrDefault("a-1", 0)).isAtLeast(60);
        assertThat(retries.stream().distinct().count()).isAtLeast(50);
        assertThat(retries.stream().allMatch(retry -> retry.compareTo(Duration.ofMillis(1_200)) <= 0))
                .isTrue();
    }

    @Test
    void everyDrainStartsARequestWhileAnyIsQueued() {
        for (int look = 0; look < 5_000; look++) {
            lagNanos = random.nextLong(60 * MILLI);
            for (int each = random.nextInt(4); each > 0; each--) {
                arrive("t" + random.nextInt(3), random.nextInt(3), 1 + random.nextInt(5), 1 + random.nextInt(90), 800);
            }
            int waitingBefore = room.queuedCount();
            int begunBefore = order.size();
            look();
            assertThat(order.size() > begunBefore || waitingBefore == 0).isTrue();
            if (lagNanos == 0) {
                assertThat(room.queuedCount()).isEqualTo(0);
            }
        }
        int done = begun.values().stream().mapToInt(each -> each).sum()
                + refused.values().stream().mapToInt(each -> each).sum();
        assertThat(done + room.queuedCount()).isEqualTo(number);
    }

    @Test
    void aRequestWhoseCallerWentAwayIsForgotten() {
        lagNanos = 30 * MILLI;
        for (int each = 0; each < 3; each++) {
            arrive("a", USUAL, 1, 90, 1_000);
        }
        room.withdraw("a-1#2");
        assertThat(room.queuedCount()).isEqualTo(1);
    }

    /**
     * Slow leafs keep what was begun under way for long while a burst comes: a host that is not behind goes on
     * beginning.
     */
    @Test
    void slowLeafsHoldNobodyBackAtAHostThatIsNotBehind() {
        for (int each = 0; each < 500; each++) {
            arrive("burst", URGENT, 1, 225, 1_500);
            arrive("a", USUAL, 1, 225, 2_500);
            nowNanos += 5 * MILLI;
        }
        assertThat(order).hasSize(1_000);
    }

    /** A host at a third of its speed is further behind with each request that it begins, until it has caught up. */
    @Test
    void atAThirdOfItsSpeedMoreOfTheUrgentOnesAreInTimeThanInTheOrderOfArrival() {
        int inOrderOfArrival = urgentInTimeAtAThird(false);
        int byRank = urgentInTimeAtAThird(true);
        assertThat(byRank).isAtLeast(90);
        assertThat(byRank).isGreaterThan(2 * inOrderOfArrival);
    }

    /**
     * Returns how many of 100 urgent requests begin within 60 ms, among 300 others, where each takes 30 ms of the host.
     */
    private static int urgentInTimeAtAThird(boolean ranked) {
        EntryAdmissionTest day = new EntryAdmissionTest();
        day.lagNanos = 30 * MILLI;
        Map<Integer, Long> cameNanos = new HashMap<>();
        int inTime = 0;
        int seen = 0;
        for (int look = 0; look < 450; look++) {
            for (int each = 0; each < 3 && look < 100; each++) {
                day.arrive("a", ranked ? USUAL : URGENT, 1, 90, 60_000);
            }
            if (look % 4 == 0 && look < 400) {
                day.arrive("a/urgent", URGENT, 1, 90, 60_000);
                cameNanos.put(cameNanos.size(), day.nowNanos);
            }
            day.look();
            while (day.begunOf("a/urgent-0") > seen) {
                inTime += day.nowNanos - cameNanos.getOrDefault(seen, 0L) <= 60 * MILLI ? 1 : 0;
                seen++;
            }
        }
        return inTime;
    }

    private int begunOf(String kind) {
        return begun.getOrDefault(kind, 0);
    }

    private double share(String kind) {
        return begunOf(kind) / (double) asked.getOrDefault(kind, 1);
    }

    private void arrive(String team, int rank, double weight, int calls, long leftMillis) {
        arrive(team, rank, weight, calls, leftMillis, leftMillis);
    }

    private void arrive(String team, int rank, double weight, int calls, long leftMillis, long goalMillis) {
        number++;
        asked.merge(team + "-" + rank, 1, Integer::sum);
        take(room.offer(
                new QueuedRequest<>(
                        team + "-" + rank + "#" + number,
                        rank,
                        teamOf(team),
                        weight,
                        calls,
                        30 * MILLI,
                        nowNanos + goalMillis * MILLI,
                        nowNanos + leftMillis * MILLI),
                lagNanos,
                nowNanos));
    }

    /** A name may say more than the team. */
    private static String teamOf(String name) {
        return name.substring(0, (name + "/").indexOf('/'));
    }

    private void look() {
        nowNanos += LOOK_NANOS + lagNanos;
        take(room.drain(lagNanos, nowNanos));
    }

    private void take(List<AdmissionAction<String>> actions) {
        for (AdmissionAction<String> action : actions) {
            if (action instanceof AdmissionAction.Start<String> start) {
                order.add(kind(start.request()));
                begun.merge(kind(start.request()), 1, Integer::sum);
            } else if (action instanceof AdmissionAction.Refuse<String> refuse) {
                retries.add(refuse.retryAfter());
                refused.merge(kind(refuse.request()), 1, Integer::sum);
            }
        }
    }

    private static String kind(String request) {
        return request.substring(0, request.indexOf('#'));
    }
}
