package org.bramblerack.request.routed;

import java.time.Duration;

/**
 * How long before a goal an answer is sealed, so that it is with the caller in time.
 *
 * <p>The load: a host that is behind, on a part of a core, runs its timers late and writes slowly; for a spell, for
 * good, or once. An answer is worth the square of the share of its shards before the goal and almost nothing after it.
 * So a lead has two costs: shards that come in the time given away, and answers that are late all the same. The lead is
 * the one with the least sum, by the overruns that were seen of late: rare long ones are borne, since covering them
 * would cost every answer some shards, and frequent ones are covered.
 *
 * <p>Overruns weigh by the time that they stand for and lose half of their weight every {@link #HALF_LIFE}: a host that
 * falls behind is noticed within a few tenths of a second, and one that has caught up is trusted again after some
 * seconds. State is constant. Not safe for use by several threads.
 */
public final class FinalizeLead {
    /** The way to the caller: one to three milliseconds at the users' sites, and as much again for a slow link. */
    private static final long WAY_NANOS = Duration.ofMillis(7).toNanos();
    /** A few times as long as the spells in which a host is behind while others of its zone start or queries burst. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);
    /** A process that has just started is slow; it is taken to be until it has shown otherwise. */
    private static final int FIRST_OVERRUN_MILLIS = 8;

    private static final double FIRST_WEIGHT_SECONDS = 1;
    /** An answer shows the overrun itself, also what merging and writing took: it counts like this much of lateness. */
    private static final double ANSWER_WEIGHT_SECONDS = 0.2;
    /** Longer overruns cannot be covered within the goals of interactive queries. */
    private static final int MOST_MILLIS = 64;
    /** At least this part of the goal is left to the shards. */
    private static final int GOAL_DIVISOR = 3;
    /**
     * What an answer would lose if the whole goal were given away at the rate at which shards come in near the goal: by
     * then all but a tail of paused and queued calls is in.
     */
    private static final double TAIL_LOSS = 0.4;
    /** What an answer is worth after the goal: the most that the users' sheets give. */
    private static final double LATE_WORTH = 0.1;

    /** The weight of overruns by their length, rounded up to milliseconds; the last holds all longer ones. */
    private final double[] weights = new double[MOST_MILLIS + 2];

    private long decayedAtNanos;

    /** Creates the lead of a host that has just started. */
    public FinalizeLead(long nowNanos) {
        decayedAtNanos = nowNanos;
        weights[FIRST_OVERRUN_MILLIS] = FIRST_WEIGHT_SECONDS;
    }

    /** Returns the lead for an answer that has its whole goal ahead of it. */
    public long nanos(Duration goal) {
        return WAY_NANOS + overrunNanos(goal);
    }

    /** Returns the part of the lead that is for what this host takes, without the way to the caller. */
    public long overrunNanos(Duration goal) {
        double goalMillis = goal.toNanos() / (double) Duration.ofMillis(1).toNanos();
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        int best = 0;
        double bestWorth = 0;
        double covered = 0;
        for (int millis = 0; millis <= MOST_MILLIS && millis <= goalMillis / GOAL_DIVISOR; millis++) {
            covered += weights[millis];
            double inTime = covered / total;
            double worth = inTime * (1 - TAIL_LOSS * millis / goalMillis) + (1 - inTime) * LATE_WORTH;
            if (worth > bestWorth) {
                bestWorth = worth;
                best = millis;
            }
        }
        return Duration.ofMillis(best).toNanos();
    }

    /**
     * Notes how late a regular task of this host ran.
     *
     * @param periodNanos how often it is meant to run
     */
    public void recordTaskDelay(long lateNanos, long periodNanos, long nowNanos) {
        Duration stoodFor = Duration.ofNanos(periodNanos + lateNanos);
        note(lateNanos, stoodFor.toNanos() / (double) Duration.ofSeconds(1).toNanos(), nowNanos);
    }

    /** Notes when an answer was written that was to be sealed at a given time and was not waiting for more shards. */
    public void recordFinalized(long plannedNanos, long writtenNanos) {
        note(writtenNanos - plannedNanos, ANSWER_WEIGHT_SECONDS, writtenNanos);
    }

    private void note(long overrunNanos, double weightSeconds, long nowNanos) {
        double halfLives = Math.max(0, nowNanos - decayedAtNanos) / (double) HALF_LIFE.toNanos();
        double kept = Math.pow(0.5, halfLives);
        decayedAtNanos = Math.max(decayedAtNanos, nowNanos);
        for (int bucket = 0; bucket < weights.length; bucket++) {
            weights[bucket] *= kept;
        }
        double millis = Math.ceil(
                Math.max(0, overrunNanos) / (double) Duration.ofMillis(1).toNanos());
        weights[(int) Math.min(millis, MOST_MILLIS + 1)] += weightSeconds;
    }
}
