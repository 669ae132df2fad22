package org.bramblerack.process.leaf;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

final class LeafSlownessTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final double[] SPEEDS = {0.8, 1.0, 1.3};

    @Test
    void threeSpeedsWithSpellsAreForeseenBetterThanByOneAverage() {
        Errors errors = new Errors();
        for (int leaf = 0; leaf < 60; leaf++) {
            errors.ofLeaf(SPEEDS[leaf % SPEEDS.length], new SplittableRandom(leaf));
        }
        assertThat(errors.ofPace).isLessThan(0.9 * errors.ofOneAverage);
    }

    @Test
    void aSpeedIsKeptThroughASpell() {
        LeafSlowness pace = new LeafSlowness(0);
        long nowNanos = observe(pace, 1.3, 100, 0);
        nowNanos = observe(pace, 3.2, 6, nowNanos);
        assertThat(pace.at(nowNanos)).isGreaterThan(2.2);
        nowNanos = observe(pace, 1.3, 6, nowNanos);
        assertThat(pace.at(nowNanos)).isWithin(0.25).of(1.3);
        assertThat(pace.at(nowNanos + 5 * SECOND)).isWithin(0.25).of(1.3);
    }

    @Test
    void aSpellIsForgottenWithinASecondAndAFaultIsNot() {
        LeafSlowness inSpell = new LeafSlowness(0);
        LeafSlowness faulty = new LeafSlowness(0);
        long nowNanos = observe(inSpell, 2.5, 6, 0);
        observe(faulty, 8.5, 6, 0);
        assertThat(inSpell.at(nowNanos + SECOND)).isLessThan(1.6);
        assertThat(faulty.at(nowNanos + SECOND)).isGreaterThan(4.0);
    }

    @Test
    void whatWasNeverSeenIsUsual() {
        assertThat(new LeafSlowness(0).at(10 * SECOND)).isEqualTo(1.0);
    }

    private static long observe(LeafSlowness pace, double times, int calls, long fromNanos) {
        long nowNanos = fromNanos;
        for (int call = 0; call < calls; call++) {
            nowNanos += 80 * MILLI;
            pace.observe(times, nowNanos);
        }
        return nowNanos;
    }

    /** How far what was expected of each call is from what the state of its leaf made it take, as logarithms. */
    private static final class Errors {
        private double ofPace;
        private double ofOneAverage;

        /** Plays a minute of a leaf that gets twelve calls a second and is in a spell for 15% of the time. */
        void ofLeaf(double speed, SplittableRandom random) {
            LeafSlowness pace = new LeafSlowness(0);
            DecayingAverage one = new DecayingAverage(1, 0.3, Duration.ofSeconds(5), 0);
            long spellEndsNanos = 0;
            double usual = speed;
            long nowNanos = 0;
            while (nowNanos < 60 * SECOND) {
                nowNanos += (long) (-Math.log(1 - random.nextDouble()) / 12 * SECOND);
                while (nowNanos >= spellEndsNanos) {
                    usual = random.nextDouble() < 0.15 ? 2.5 * speed : speed;
                    spellEndsNanos += 600 * MILLI;
                }
                double times = usual * Math.exp(0.35 * random.nextGaussian()) * (random.nextDouble() < 0.01 ? 5 : 1);
                if (nowNanos > 10 * SECOND) {
                    ofPace += error(pace.at(nowNanos), usual);
                    ofOneAverage += error(one.at(nowNanos), usual);
                }
                pace.observe(times, nowNanos);
                one.observe(times, nowNanos);
            }
        }

        private static double error(double expected, double real) {
            return Math.abs(Math.log(expected / real));
        }
    }
}
