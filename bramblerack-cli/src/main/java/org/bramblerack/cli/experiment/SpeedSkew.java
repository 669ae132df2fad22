package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * How the leafs of a shard differ from one another, and each of them from one moment to the next.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param workFactors how many times as long as usual work takes, dealt out in turn; empty if all work as fast
 * @param slowShare the share of leafs that are in a spell, drawn anew each {@code spellEvery}
 * @param slowFactor how many times as long work takes that begins in a spell
 * @param slowPeriod how long a spell lasts; zero for none
 * @param reported whether leafs tell how long work takes at the moment
 */
record SpeedSkew(
        ImmutableList<Double> workFactors, double slowShare, double slowFactor, Duration slowPeriod, boolean reported) {
    /** All leafs are alike at all times. */
    static final SpeedSkew NONE = new SpeedSkew(ImmutableList.of(), 0, 1, Duration.ZERO, false);

    /** Returns how many times as long as usual work takes at a leaf. */
    double workFactorOf(int shard, int replica) {
        return workFactors.isEmpty() ? 1 : workFactors.get((shard + replica) % workFactors.size());
    }
}
