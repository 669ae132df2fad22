package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;

/** What callers get of the answers that a host seals at their goal, by how far behind the host is. */
final class FinalizeLeadTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final Duration GOAL = Duration.ofMillis(89);
    private static final long PERIOD_NANOS = 20 * MILLI;
    /** The way to the caller, which takes 3 ms where it is usual. */
    private static final long WAY_NANOS = 3 * MILLI;

    private final SplittableRandom random = new SplittableRandom(1);
    private final FinalizeLead lead = new FinalizeLead(0);
    private final TwiceTheMean twiceTheMean = new TwiceTheMean();
    private long nowNanos;
    private int answers;
    private int inTime;
    private double worth;
    private double worthOfTwiceTheMean;
    private double worthOfMost;

    @Test
    void aHostThatHasJustStartedIsTakenToBeSlowUntilItHasShownOtherwise() {
        assertThat(lead.nanos(GOAL)).isAtLeast(14 * MILLI);
        play(Duration.ofSeconds(8), this::calm);
        assertThat(lead.nanos(GOAL)).isAtMost(10 * MILLI);
    }

    @Test
    void aHostThatWritesLateEachTimeCoversThat() {
        for (int answer = 0; answer < 30; answer++) {
            nowNanos += Duration.ofMillis(300).toNanos();
            lead.recordFinalized(nowNanos - 6 * MILLI, nowNanos);
        }
        assertThat(lead.overrunNanos(GOAL)).isAtLeast(6 * MILLI);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(8 * MILLI);
    }

    @Test
    void aHostThatIsBehindForSecondsAnswersInTimeOnceItHasNoticed() {
        play(Duration.ofSeconds(10), this::calm);
        play(Duration.ofMillis(600), this::behind);
        forgetAnswers();
        play(Duration.ofSeconds(4), this::behind);
        assertThat(inTime / (double) answers).isAtLeast(0.9);
        assertThat(worth).isGreaterThan(1.5 * worthOfTwiceTheMean);
    }

    @Test
    void aHostThatHasCaughtUpGivesNoTimeAwayAfterSomeSeconds() {
        play(Duration.ofSeconds(3), this::behind);
        play(Duration.ofSeconds(10), this::calm);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(3 * MILLI);
    }

    @Test
    void oneLateTimerAmongManyChangesNothing() {
        play(Duration.ofSeconds(10), this::calm);
        long before = lead.nanos(GOAL);
        lead.recordTaskDelay(40 * MILLI, PERIOD_NANOS, nowNanos);
        assertThat(lead.nanos(GOAL)).isEqualTo(before);
    }

    @Test
    void aCalmHostLosesNothingAgainstTheOtherLaws() {
        play(Duration.ofSeconds(8), this::calm);
        forgetAnswers();
        play(Duration.ofSeconds(60), this::calm);
        assertThat(inTime / (double) answers).isAtLeast(0.98);
        assertThat(worth).isAtLeast(0.99 * worthOfTwiceTheMean);
        assertThat(worth).isAtLeast(0.99 * worthOfMost);
    }

    /** One stall in twenty: covering it would cost every answer shards. */
    @Test
    void rareStallsAreBorne() {
        play(Duration.ofSeconds(60), () -> random.nextInt(40) == 0 ? 30 * MILLI : calm());
        assertThat(lead.overrunNanos(GOAL)).isAtMost(5 * MILLI);
        assertThat(worth).isAtLeast(worthOfMost);
    }

    @Test
    void mostOfTheGoalIsLeftToTheShards() {
        play(Duration.ofSeconds(10), () -> 60 * MILLI);
        assertThat(lead.overrunNanos(GOAL)).isAtMost(GOAL.toNanos() / 3);
        assertThat(lead.overrunNanos(Duration.ofMillis(9))).isAtMost(3 * MILLI);
    }

    private long calm() {
        return MILLI / 2 + random.nextLong(MILLI);
    }

    private long behind() {
        return 12 * MILLI + random.nextLong(11 * MILLI);
    }

    private void forgetAnswers() {
        answers = 0;
        inTime = 0;
        worth = 0;
        worthOfTwiceTheMean = 0;
        worthOfMost = 0;
    }

    /** Plays a spell with an answer every tenth of a second that lacks shards at its goal. */
    private void play(Duration spell, LongSupplier overruns) {
        long untilNanos = nowNanos + spell.toNanos();
        long nextAnswerNanos = nowNanos;
        while (nowNanos < untilNanos) {
            long lateNanos = overruns.getAsLong();
            nowNanos += PERIOD_NANOS + lateNanos;
            lead.recordTaskDelay(lateNanos, PERIOD_NANOS, nowNanos);
            if (nowNanos >= nextAnswerNanos) {
                nextAnswerNanos = nowNanos + Duration.ofMillis(100).toNanos();
                answer(overruns.getAsLong());
            }
        }
    }

    private void answer(long overrunNanos) {
        answers++;
        inTime += isInTime(lead.nanos(GOAL), overrunNanos) ? 1 : 0;
        worth += worthOf(lead.nanos(GOAL), overrunNanos);
        worthOfTwiceTheMean += worthOf(twiceTheMean.nanos(), overrunNanos);
        worthOfMost += worthOf(7 * MILLI + 30 * MILLI, overrunNanos);
        lead.recordFinalized(nowNanos - overrunNanos, nowNanos);
        twiceTheMean.sealed(overrunNanos);
    }

    private static boolean isInTime(long leadNanos, long overrunNanos) {
        return leadNanos >= WAY_NANOS + overrunNanos;
    }

    /** The square of a share of shards of which the last tenth comes evenly over the goal's second half. */
    private static double worthOf(long leadNanos, long overrunNanos) {
        double share = 1 - 0.1 * Math.min(1, leadNanos / (GOAL.toNanos() / 2.0));
        return isInTime(leadNanos, overrunNanos) ? share * share : 0.04;
    }

    /** The law to compare with: twice the mean of the overruns up to 12 ms. */
    private static final class TwiceTheMean {
        private double overrunNanos = 4.0 * MILLI;

        long nanos() {
            return 7 * MILLI + (long) (2 * overrunNanos);
        }

        void sealed(long seenNanos) {
            if (seenNanos <= 12 * MILLI) {
                overrunNanos += 0.2 * (seenNanos - overrunNanos);
            }
        }
    }
}
