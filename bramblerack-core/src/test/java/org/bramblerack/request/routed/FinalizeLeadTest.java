package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** Compares the value of answers that a host finalizes at their goal with that of other policies, by the host's lag. */
final class FinalizeLeadTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final Duration GOAL = Duration.ofMillis(89);
    private static final long PERIOD_NANOS = 20 * MILLI;
    /** Network time to the caller in this model. */
    private static final long PATH_NANOS = 3 * MILLI;

    private final SplittableRandom random = new SplittableRandom(1);
    private final FinalizeLead lead = new FinalizeLead(0);
    private final TwiceTheMean twiceTheMean = new TwiceTheMean();
    private long nowNanos;
    private int answers;
    private int onTime;
    private double value;
    private double valueOfTwiceTheMean;
    private double valueOfMaximumLead;

    @Test
    void aNewHostStartsWithALongLeadThatDecays() {
        assertThat(lead.nanos(GOAL)).isAtLeast(14 * MILLI);
        simulate(Duration.ofSeconds(8), this::steady);
        assertThat(lead.nanos(GOAL)).isAtMost(10 * MILLI);
    }

    @Test
    void consistentWriteDelaysAreCovered() {
        for (int answer = 0; answer < 30; answer++) {
            nowNanos += Duration.ofMillis(300).toNanos();
            lead.recordFinalized(nowNanos - 6 * MILLI, nowNanos);
        }
        assertThat(lead.overrunNanos(GOAL)).isAtLeast(6 * MILLI);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(8 * MILLI);
    }

    @Test
    void aLaggingHostAnswersOnTimeAfterAdapting() {
        simulate(Duration.ofSeconds(10), this::steady);
        simulate(Duration.ofMillis(600), this::lagging);
        resetStatistics();
        simulate(Duration.ofSeconds(4), this::lagging);
        assertThat(onTime / (double) answers).isAtLeast(0.9);
        assertThat(value).isGreaterThan(1.5 * valueOfTwiceTheMean);
    }

    @Test
    void theLeadShrinksAfterAHostHasCaughtUp() {
        simulate(Duration.ofSeconds(3), this::lagging);
        simulate(Duration.ofSeconds(10), this::steady);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(3 * MILLI);
    }

    @Test
    void oneLateTimerAmongManyChangesNothing() {
        simulate(Duration.ofSeconds(10), this::steady);
        long before = lead.nanos(GOAL);
        lead.recordTaskDelay(40 * MILLI, PERIOD_NANOS, nowNanos);
        assertThat(lead.nanos(GOAL)).isEqualTo(before);
    }

    @Test
    void aSteadyHostLosesNothingToOtherPolicies() {
        simulate(Duration.ofSeconds(8), this::steady);
        resetStatistics();
        simulate(Duration.ofSeconds(60), this::steady);
        assertThat(onTime / (double) answers).isAtLeast(0.98);
        assertThat(value).isAtLeast(0.99 * valueOfTwiceTheMean);
        assertThat(value).isAtLeast(0.99 * valueOfMaximumLead);
    }

    /** One stall in twenty; covering it would cost every answer shards. */
    @Test
    void rareStallsAreNotCovered() {
        simulate(Duration.ofSeconds(60), () -> random.nextInt(40) == 0 ? 30 * MILLI : steady());
        assertThat(lead.overrunNanos(GOAL)).isAtMost(5 * MILLI);
        assertThat(value).isAtLeast(valueOfMaximumLead);
    }

    @Test
    void mostOfTheGoalIsLeftToTheShards() {
        simulate(Duration.ofSeconds(10), () -> 60 * MILLI);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(GOAL.toNanos() / 3);
        assertThat(lead.overrunNanos(Duration.ofMillis(9))).isAtMost(3 * MILLI);
    }

    private long steady() {
        return MILLI / 2 + random.nextLong(MILLI);
    }

    private long lagging() {
        return 12 * MILLI + random.nextLong(11 * MILLI);
    }

    private void resetStatistics() {
        answers = 0;
        onTime = 0;
        value = 0;
        valueOfTwiceTheMean = 0;
        valueOfMaximumLead = 0;
    }

    /** Simulates a period with an answer every tenth of a second that lacks shards at its goal. */
    private void simulate(Duration length, LongSupplier overruns) {
        long untilNanos = nowNanos + length.toNanos();
        long nextAnswerNanos = nowNanos;
        while (nowNanos < untilNanos) {
            long delayNanos = overruns.getAsLong();
            nowNanos += PERIOD_NANOS + delayNanos;
            lead.recordTaskDelay(delayNanos, PERIOD_NANOS, nowNanos);
            if (nowNanos >= nextAnswerNanos) {
                nextAnswerNanos = nowNanos + Duration.ofMillis(100).toNanos();
                answer(overruns.getAsLong());
            }
        }
    }

    private void answer(long overrunNanos) {
        answers++;
        onTime += isOnTime(lead.nanos(GOAL), overrunNanos) ? 1 : 0;
        value += valueOf(lead.nanos(GOAL), overrunNanos);
        valueOfTwiceTheMean += valueOf(twiceTheMean.nanos(), overrunNanos);
        valueOfMaximumLead += valueOf(7 * MILLI + 30 * MILLI, overrunNanos);
        lead.recordFinalized(nowNanos - overrunNanos, nowNanos);
        twiceTheMean.record(overrunNanos);
    }

    private static boolean isOnTime(long leadNanos, long overrunNanos) {
        return leadNanos >= PATH_NANOS + overrunNanos;
    }

    /**
     * The square of the answered share, where the last tenth of the shards answers evenly over the goal's second half.
     */
    private static double valueOf(long leadNanos, long overrunNanos) {
        double share = 1 - 0.1 * Math.min(1, leadNanos / (GOAL.toNanos() / 2.0));
        return isOnTime(leadNanos, overrunNanos) ? share * share : 0.04;
    }

    /** A policy to compare with: twice the mean of the overruns up to 12 ms. */
    private static final class TwiceTheMean {
        private double overrunNanos = 4.0 * MILLI;

        long nanos() {
            return 7 * MILLI + (long) (2 * overrunNanos);
        }

        void record(long observedNanos) {
            if (observedNanos <= 12 * MILLI) {
                overrunNanos += 0.2 * (observedNanos - overrunNanos);
            }
        }
    }
}
