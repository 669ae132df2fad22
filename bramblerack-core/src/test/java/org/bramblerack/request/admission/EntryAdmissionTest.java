package org.bramblerack.request.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the capacity that each rank and team gets on an overloaded host under different load patterns. */
final class EntryAdmissionTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long DRAIN_INTERVAL_NANOS = EntryAdmission.LAG_THRESHOLD.toNanos();
    private static final int URGENT = 0;
    private static final int NORMAL = 1;

    private final SplittableRandom random = new SplittableRandom(1);
    private final EntryAdmission<String> admission = new EntryAdmission<>(0, Duration.ofNanos(200_000), random);
    private final Map<String, Integer> offered = new HashMap<>();
    private final Map<String, Integer> started = new HashMap<>();
    private final Map<String, Integer> refused = new HashMap<>();
    private final List<Duration> retryAfters = new ArrayList<>();
    private final List<String> startOrder = new ArrayList<>();
    private long nowNanos;
    private long lagNanos;
    private int offeredCount;

    @Test
    void aHostThatIsNotLaggingStartsEveryRequestAtOnce() {
        for (int request = 0; request < 1_000; request++) {
            offer("hot", NORMAL, 1, 90, 500);
            nowNanos += MILLI_NANOS;
        }
        assertThat(started).containsExactly("hot-1", 1_000);
    }

    /** Guards against queueing the first request after a pause, when the lag does not come from requests. */
    @Test
    void aSingleRequestStartsAtOnceOnALaggingHost() {
        nowNanos = DRAIN_INTERVAL_NANOS;
        lagNanos = 100 * MILLI_NANOS;
        offer("a", NORMAL, 1, 90, 500);
        assertThat(started).containsExactly("a-1", 1);
    }

    @Test
    void anUrgentBurstIsServedFirstAndNormalRequestsGetAQuarter() {
        lagNanos = 30 * MILLI_NANOS;
        for (int round = 0; round < 400; round++) {
            offer("a", URGENT, 1, 90, 1_500);
            offer("a", NORMAL, 1, 90, 2_500);
            drain();
        }
        assertThat(startedShare("a-0")).isAtLeast(0.7);
        assertThat(startedShare("a-1")).isAtLeast(0.2);
        // A class gets at least a quarter of the overall service rate, which is half of the offered rate.
        assertThat(startedShare("a-1")).isAtLeast(0.25 * 0.5);
    }

    @Test
    void atMostOneLowerRankRequestStartsBetweenUrgentOnes() {
        lagNanos = 30 * MILLI_NANOS;
        for (int request = 0; request < 40; request++) {
            offer("a", NORMAL, 1, 90, 60_000);
        }
        for (int request = 0; request < 12; request++) {
            offer("a", URGENT, 1, 90, 60_000);
        }
        for (int round = 0; round < 16; round++) {
            drain();
        }
        assertThat(startedCount("a-0")).isEqualTo(12);
        for (int position = 0; position + 1 < 14; position++) {
            boolean twoLower = startOrder.get(position).endsWith("-1")
                    && startOrder.get(position + 1).endsWith("-1");
            assertThat(twoLower).isFalse();
        }
    }

    @Test
    void aTeamAboveItsShareTakesNothingFromOtherTeams() {
        for (int hotRequests : new int[] {4, 7, 10}) {
            EntryAdmissionTest scenario = new EntryAdmissionTest();
            scenario.lagNanos = 30 * MILLI_NANOS;
            for (int round = 0; round < 1_000; round++) {
                for (int request = 0; request < hotRequests && round % 5 == 0; request++) {
                    scenario.offer("hot", NORMAL, 1, 90, 1_000);
                }
                if (round % 5 == 1) {
                    scenario.offer("b", NORMAL, 1, 90, 1_000);
                }
                if (round % 5 == 3) {
                    scenario.offer("c", NORMAL, 1, 90, 1_000);
                }
                scenario.drain();
            }
            assertThat(scenario.startedShare("b-1")).isAtLeast(0.98);
            assertThat(scenario.startedShare("c-1")).isAtLeast(0.98);
            // The capacity that the other teams leave unused.
            assertThat(scenario.startedCount("hot-1")).isAtLeast(550);
        }
    }

    @Test
    void capacityIsSharedInProportionToTeamWeights() {
        lagNanos = 30 * MILLI_NANOS;
        for (int round = 0; round < 1_000; round++) {
            offer("large", NORMAL, 30, 90, 1_000);
            offer("small", NORMAL, 10, 90, 1_000);
            drain();
        }
        double ratio = startedCount("large-1") / (double) startedCount("small-1");
        assertThat(ratio).isWithin(0.3).of(3);
    }

    /** The insistent team immediately retries each refused request, up to five times. */
    @Test
    void immediateRetriesGainNoCapacity() {
        lagNanos = 30 * MILLI_NANOS;
        for (int round = 0; round < 2_000; round++) {
            offer("patient", NORMAL, 1, 90, 400);
            int refusedBefore = refused.getOrDefault("insistent-1", 0);
            offer("insistent", NORMAL, 1, 90, 400);
            for (int retry = 0; retry < 5 && refused.getOrDefault("insistent-1", 0) > refusedBefore; retry++) {
                refusedBefore++;
                offer("insistent", NORMAL, 1, 90, 400);
            }
            drain();
        }
        assertThat(startedCount("insistent-1")).isAtMost((int) (1.02 * startedCount("patient-1")));
    }

    /** All callers return at once after an outage; half of their requests are already past their goal. */
    @Test
    void requestsThatCanMeetTheirGoalStartFirst() {
        lagNanos = 30 * MILLI_NANOS;
        nowNanos = 1_000 * MILLI_NANOS;
        for (int request = 0; request < 20; request++) {
            offer("late" + request, NORMAL, 1, 90, 3_000, -1);
            offer("fresh" + request, NORMAL, 1, 90, 3_000, 2_000);
        }
        // The first late request started on arrival; each drain starts one more.
        for (int round = 0; round < 20; round++) {
            drain();
        }
        assertThat(startOrder.stream()
                        .filter(request -> request.startsWith("fresh"))
                        .count())
                .isEqualTo(20);
    }

    @Test
    void requestsThatCannotMeetTheirDeadlineAreRefusedAtOnceWithDistinctRetryTimes() {
        lagNanos = 30 * MILLI_NANOS;
        for (int request = 0; request < 100; request++) {
            offer("a", NORMAL, 1, 90, 600);
        }
        assertThat(refused.getOrDefault("a-1", 0)).isAtLeast(60);
        assertThat(retryAfters.stream().distinct().count()).isAtLeast(50);
        assertThat(retryAfters.stream().allMatch(retryAfter -> retryAfter.compareTo(Duration.ofMillis(1_200)) <= 0))
                .isTrue();
    }

    @Test
    void everyDrainStartsARequestWhileAnyIsQueued() {
        for (int round = 0; round < 5_000; round++) {
            lagNanos = random.nextLong(60 * MILLI_NANOS);
            for (int count = random.nextInt(4); count > 0; count--) {
                offer("t" + random.nextInt(3), random.nextInt(3), 1 + random.nextInt(5), 1 + random.nextInt(90), 800);
            }
            int queuedBefore = admission.queuedCount();
            int startedBefore = startOrder.size();
            drain();
            assertThat(startOrder.size() > startedBefore || queuedBefore == 0).isTrue();
            if (lagNanos == 0) {
                assertThat(admission.queuedCount()).isEqualTo(0);
            }
        }
        int decided = started.values().stream().mapToInt(count -> count).sum()
                + refused.values().stream().mapToInt(count -> count).sum();
        assertThat(decided + admission.queuedCount()).isEqualTo(offeredCount);
    }

    @Test
    void aWithdrawnRequestLeavesTheQueue() {
        lagNanos = 30 * MILLI_NANOS;
        for (int request = 0; request < 3; request++) {
            offer("a", NORMAL, 1, 90, 1_000);
        }
        admission.withdraw("a-1#2");
        assertThat(admission.queuedCount()).isEqualTo(1);
    }

    /** Guards against deferring requests because many are in flight to slow leaves. */
    @Test
    void slowLeavesDoNotDelayStartsOnAHostThatIsNotLagging() {
        for (int request = 0; request < 500; request++) {
            offer("burst", URGENT, 1, 225, 1_500);
            offer("a", NORMAL, 1, 225, 2_500);
            nowNanos += 5 * MILLI_NANOS;
        }
        assertThat(startOrder).hasSize(1_000);
    }

    /** On a host at a third of its usual speed, rank order must beat the order of arrival. */
    @Test
    void rankOrderStartsMoreUrgentRequestsInTimeThanArrivalOrder() {
        int byArrival = countUrgentInTime(false);
        int byRank = countUrgentInTime(true);
        assertThat(byRank).isAtLeast(90);
        assertThat(byRank).isGreaterThan(2 * byArrival);
    }

    /** Returns how many of 100 urgent requests among 300 others start within 60 ms, with one start per 50 ms. */
    private static int countUrgentInTime(boolean ranked) {
        EntryAdmissionTest scenario = new EntryAdmissionTest();
        scenario.lagNanos = 30 * MILLI_NANOS;
        Map<Integer, Long> arrivalNanos = new HashMap<>();
        int inTime = 0;
        int counted = 0;
        for (int round = 0; round < 450; round++) {
            for (int request = 0; request < 3 && round < 100; request++) {
                scenario.offer("a", ranked ? NORMAL : URGENT, 1, 90, 60_000);
            }
            if (round % 4 == 0 && round < 400) {
                scenario.offer("a/urgent", URGENT, 1, 90, 60_000);
                arrivalNanos.put(arrivalNanos.size(), scenario.nowNanos);
            }
            scenario.drain();
            while (scenario.startedCount("a/urgent-0") > counted) {
                inTime += scenario.nowNanos - arrivalNanos.getOrDefault(counted, 0L) <= 60 * MILLI_NANOS ? 1 : 0;
                counted++;
            }
        }
        return inTime;
    }

    private int startedCount(String teamAndRank) {
        return started.getOrDefault(teamAndRank, 0);
    }

    private double startedShare(String teamAndRank) {
        return startedCount(teamAndRank) / (double) offered.getOrDefault(teamAndRank, 1);
    }

    private void offer(String team, int rank, double weight, int calls, long remainingMillis) {
        offer(team, rank, weight, calls, remainingMillis, remainingMillis);
    }

    private void offer(String team, int rank, double weight, int calls, long remainingMillis, long goalMillis) {
        offeredCount++;
        offered.merge(team + "-" + rank, 1, Integer::sum);
        apply(admission.offer(
                new QueuedRequest<>(
                        team + "-" + rank + "#" + offeredCount,
                        rank,
                        teamOf(team),
                        weight,
                        calls,
                        30 * MILLI_NANOS,
                        nowNanos + goalMillis * MILLI_NANOS,
                        nowNanos + remainingMillis * MILLI_NANOS),
                lagNanos,
                nowNanos));
    }

    /** Returns the part before the first slash, so that requests of one team can be counted apart. */
    private static String teamOf(String name) {
        return name.substring(0, (name + "/").indexOf('/'));
    }

    private void drain() {
        nowNanos += DRAIN_INTERVAL_NANOS + lagNanos;
        apply(admission.drain(lagNanos, nowNanos));
    }

    private void apply(List<AdmissionAction<String>> actions) {
        for (AdmissionAction<String> action : actions) {
            if (action instanceof AdmissionAction.Start<String> start) {
                startOrder.add(teamAndRank(start.request()));
                started.merge(teamAndRank(start.request()), 1, Integer::sum);
            } else if (action instanceof AdmissionAction.Refuse<String> refuse) {
                retryAfters.add(refuse.retryAfter());
                refused.merge(teamAndRank(refuse.request()), 1, Integer::sum);
            }
        }
    }

    private static String teamAndRank(String request) {
        return request.substring(0, request.indexOf('#'));
    }
}
