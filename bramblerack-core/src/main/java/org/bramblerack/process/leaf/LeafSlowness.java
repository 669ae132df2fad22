package org.bramblerack.process.leaf;

import java.time.Duration;

/**
 * How many times as long as usual the next call to a leaf is expected to take.
 *
 * <p>The load that it answers: leafs of one service that work at different speeds for as long as they run, each of
 * which is slower by a multiple for spells of half a second, or by a larger one for seconds if something is wrong with
 * it. One average that follows the spells forgets the speed, and one that keeps the speed misses the spells. So there
 * are two, the second of what the first leaves over. Both are of logarithms, since calls differ by factors: one that
 * takes five times as long is not five times the evidence.
 *
 * <p>Not safe for use by several threads.
 */
final class LeafSlowness {
    /** A leaf keeps its speed as long as it runs, unless its data or its machine change. */
    private static final Duration SPEED_HALF_LIFE = Duration.ofSeconds(60);
    /** Some twenty calls settle a speed, so that a spell of a few calls moves it little. */
    private static final double SPEED_SMOOTHING = 0.05;

    private static final double PERIOD_SMOOTHING = 0.3;
    /** Half of what was seen of a spell of half a second says nothing of the next half second. */
    private static final double PERIOD_HALF_LIFE_NANOS = Duration.ofMillis(300).toNanos();
    /** What is slower than work beside others makes a leaf is a fault, and those last seconds. */
    private static final double FAULT_LOG_FACTOR = Math.log(3);
    /** Each call that looks whether a fault has passed is late, and its query with it. */
    private static final double FAULT_HALF_LIFE_NANOS = Duration.ofSeconds(5).toNanos();

    private final DecayingAverage speedLog;
    private double periodLog;
    private long observedAtNanos;

    LeafSlowness(long nowNanos) {
        this.speedLog = new DecayingAverage(0, SPEED_SMOOTHING, SPEED_HALF_LIFE, nowNanos);
        this.observedAtNanos = nowNanos;
    }

    /**
     * Notes a call.
     *
     * @param factor how many times as long as usual it took, above 0
     */
    void observe(double factor, long nowNanos) {
        double log = Math.log(factor);
        double before = periodLogAt(nowNanos);
        periodLog = before + PERIOD_SMOOTHING * (log - speedLog.at(nowNanos) - before);
        observedAtNanos = nowNanos;
        speedLog.observe(log, nowNanos);
    }

    /** Returns how many times as long as usual the next call is expected to take. */
    double at(long nowNanos) {
        return Math.exp(speedLog.at(nowNanos) + periodLogAt(nowNanos));
    }

    private double periodLogAt(long nowNanos) {
        double halfLifeNanos = periodLog < FAULT_LOG_FACTOR ? PERIOD_HALF_LIFE_NANOS : FAULT_HALF_LIFE_NANOS;
        double weight = halfLifeNanos / (halfLifeNanos + Math.max(0, nowNanos - observedAtNanos));
        // A factor fades as a factor: the logarithm alone would let a large one go too soon.
        return Math.log1p(Math.expm1(periodLog) * weight);
    }
}
