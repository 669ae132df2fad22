package org.bramblerack.request.routed;

import java.time.Duration;

/**
 * Computes how long before its goal an answer is finalized, so that it reaches the caller in time.
 *
 * <p>A lagging host runs its timers late and writes slowly. The value of an answer is the square of its shards' share
 * before the goal, and almost nothing after it. A long lead loses the shards that would have answered in the remaining
 * time; a short lead makes more answers late. The lead minimizes the expected loss over the recently observed overruns:
 * frequent overruns are covered, rare long ones are not.
 *
 * <p>Overruns are weighted by the time that they represent, with a half-life of {@link #HALF_LIFE}: the lead follows a
 * host that starts to lag within tenths of a second, and one that has caught up within seconds. Memory is constant. Not
 * safe for use by several threads.
 */
public final class FinalizeLead {
    /** Network time to the caller, with an allowance for slow links. */
    private static final long PATH_TO_CALLER_NANOS = Duration.ofMillis(7).toNanos();
    /** Longer than the lag that starting hosts or bursts of queries usually cause. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);
    /** A new process is assumed to be slow until there are observations. */
    private static final int INITIAL_OVERRUN_MILLIS = 8;

    private static final double INITIAL_WEIGHT_SECONDS = 1;
    /** An answer counts as this much observed time, since it includes the delays of merging and writing. */
    private static final double ANSWER_WEIGHT_SECONDS = 0.2;
    /** Longer overruns cannot be covered within the goals of interactive queries. */
    private static final int MAX_OVERRUN_MILLIS = 64;
    /** The overrun that is covered is at most the goal divided by this. */
    private static final int GOAL_DIVISOR = 3;
    /** The loss of value if the whole goal were given up at the rate at which the last shards answer. */
    private static final double TAIL_VALUE_LOSS = 0.4;
    /** The value of an answer after its goal, relative to that of a complete one in time. */
    private static final double LATE_ANSWER_VALUE = 0.1;

    /** The weights of overruns by their length, rounded up to milliseconds; the last entry has all longer ones. */
    private final double[] weights = new double[MAX_OVERRUN_MILLIS + 2];

    private long decayedAtNanos;

    /** Creates the lead of a host that has just started. */
    public FinalizeLead(long nowNanos) {
        decayedAtNanos = nowNanos;
        weights[INITIAL_OVERRUN_MILLIS] = INITIAL_WEIGHT_SECONDS;
    }

    /** Returns the lead for an answer that has its whole goal ahead, including the network time to the caller. */
    public long nanos(Duration goal) {
        return PATH_TO_CALLER_NANOS + overrunNanos(goal);
    }

    /** Returns the lead without the network time to the caller: the delays of this host. */
    public long overrunNanos(Duration goal) {
        double goalMillis = goal.toNanos() / (double) Duration.ofMillis(1).toNanos();
        double totalWeight = 0;
        for (double weight : weights) {
            totalWeight += weight;
        }
        int bestMillis = 0;
        double bestValue = 0;
        double coveredWeight = 0;
        for (int millis = 0; millis <= MAX_OVERRUN_MILLIS && millis <= goalMillis / GOAL_DIVISOR; millis++) {
            coveredWeight += weights[millis];
            double onTimeShare = coveredWeight / totalWeight;
            double value =
                    onTimeShare * (1 - TAIL_VALUE_LOSS * millis / goalMillis) + (1 - onTimeShare) * LATE_ANSWER_VALUE;
            if (value > bestValue) {
                bestValue = value;
                bestMillis = millis;
            }
        }
        return Duration.ofMillis(bestMillis).toNanos();
    }

    /**
     * Records the delay of a periodic task of this host.
     *
     * @param periodNanos the period of the task
     */
    public void recordTaskDelay(long delayNanos, long periodNanos, long nowNanos) {
        Duration represented = Duration.ofNanos(periodNanos + delayNanos);
        record(
                delayNanos,
                represented.toNanos() / (double) Duration.ofSeconds(1).toNanos(),
                nowNanos);
    }

    /**
     * Records when an answer was written that was to be finalized at the given time and did not wait for more shards.
     */
    public void recordFinalized(long plannedNanos, long writtenNanos) {
        record(writtenNanos - plannedNanos, ANSWER_WEIGHT_SECONDS, writtenNanos);
    }

    private void record(long overrunNanos, double weightSeconds, long nowNanos) {
        double halfLives = Math.max(0, nowNanos - decayedAtNanos) / (double) HALF_LIFE.toNanos();
        double decay = Math.pow(0.5, halfLives);
        decayedAtNanos = Math.max(decayedAtNanos, nowNanos);
        for (int bucket = 0; bucket < weights.length; bucket++) {
            weights[bucket] *= decay;
        }
        double millis = Math.ceil(
                Math.max(0, overrunNanos) / (double) Duration.ofMillis(1).toNanos());
        weights[(int) Math.min(millis, MAX_OVERRUN_MILLIS + 1)] += weightSeconds;
    }
}
