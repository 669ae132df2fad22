package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * How the speed of leaves differs between the replicas of a shard and over time.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param workFactors how many times as long as usual calls take, assigned to leaves in turn; empty if all are equally
 *     fast
 * @param slowShare the probability that a leaf is slow, chosen at random for each {@code slowPeriod}
 * @param slowFactor how many times as long a call takes that arrives in a slow period
 * @param slowPeriod the length of each period; zero for no slow periods
 * @param reported whether leaves report how long calls currently take
 */
record SpeedSkew(
        ImmutableList<Double> workFactors, double slowShare, double slowFactor, Duration slowPeriod, boolean reported) {
    /** All leaves are equally fast at all times. */
    static final SpeedSkew NONE = new SpeedSkew(ImmutableList.of(), 0, 1, Duration.ZERO, false);

    /** Returns how many times as long as usual calls take at a replica of a shard. */
    double workFactorOf(int shard, int replica) {
        return workFactors.isEmpty() ? 1 : workFactors.get((shard + replica) % workFactors.size());
    }
}
