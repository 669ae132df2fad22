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
    void predictsSpeedAndSlowPeriodsBetterThanOneAverage() {
        Errors errors = new Errors();
        for (int leaf = 0; leaf < 60; leaf++) {
            errors.addLeaf(SPEEDS[leaf % SPEEDS.length], new SplittableRandom(leaf));
        }
        assertThat(errors.ofSlowness).isLessThan(0.9 * errors.ofOneAverage);
    }

    @Test
    void keepsTheSpeedThroughASlowPeriod() {
        LeafSlowness slowness = new LeafSlowness(0);
        long nowNanos = observe(slowness, 1.3, 100, 0);
        nowNanos = observe(slowness, 3.2, 6, nowNanos);
        assertThat(slowness.at(nowNanos)).isGreaterThan(2.2);
        nowNanos = observe(slowness, 1.3, 6, nowNanos);
        assertThat(slowness.at(nowNanos)).isWithin(0.25).of(1.3);
        assertThat(slowness.at(nowNanos + 5 * SECOND)).isWithin(0.25).of(1.3);
    }

    @Test
    void aSlowPeriodDecaysWithinASecondButAFaultDoesNot() {
        LeafSlowness slowPeriod = new LeafSlowness(0);
        LeafSlowness faulty = new LeafSlowness(0);
        long nowNanos = observe(slowPeriod, 2.5, 6, 0);
        observe(faulty, 8.5, 6, 0);
        assertThat(slowPeriod.at(nowNanos + SECOND)).isLessThan(1.6);
        assertThat(faulty.at(nowNanos + SECOND)).isGreaterThan(4.0);
    }

    @Test
    void aLeafWithoutObservationsHasItsUsualTime() {
        assertThat(new LeafSlowness(0).at(10 * SECOND)).isEqualTo(1.0);
    }

    private static long observe(LeafSlowness slowness, double factor, int calls, long fromNanos) {
        long nowNanos = fromNanos;
        for (int call = 0; call < calls; call++) {
            nowNanos += 80 * MILLI;
            slowness.observe(factor, nowNanos);
        }
        return nowNanos;
    }

    /** The sum of the absolute errors of both predictions, as logarithms. */
    private static final class Errors {
        private double ofSlowness;
        private double ofOneAverage;

        /** Simulates a minute of a leaf with twelve calls a second that is in a slow period for 15% of the time. */
        void addLeaf(double speed, SplittableRandom random) {
            LeafSlowness slowness = new LeafSlowness(0);
            DecayingAverage average = new DecayingAverage(1, 0.3, Duration.ofSeconds(5), 0);
            long periodEndsNanos = 0;
            double usual = speed;
            long nowNanos = 0;
            while (nowNanos < 60 * SECOND) {
                nowNanos += (long) (-Math.log(1 - random.nextDouble()) / 12 * SECOND);
                while (nowNanos >= periodEndsNanos) {
                    usual = random.nextDouble() < 0.15 ? 2.5 * speed : speed;
                    periodEndsNanos += 600 * MILLI;
                }
                double factor = usual * Math.exp(0.35 * random.nextGaussian()) * (random.nextDouble() < 0.01 ? 5 : 1);
                if (nowNanos > 10 * SECOND) {
                    ofSlowness += error(slowness.at(nowNanos), usual);
                    ofOneAverage += error(average.at(nowNanos), usual);
                }
                slowness.observe(factor, nowNanos);
                average.observe(factor, nowNanos);
            }
        }

        private static double error(double expected, double actual) {
            return Math.abs(Math.log(expected / actual));
        }
    }
}
