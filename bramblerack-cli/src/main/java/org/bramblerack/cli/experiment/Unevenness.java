package org.bramblerack.cli.experiment;

import com.google.common.collect.ImmutableList;
import java.time.Duration;

/**
 * How the leafs of a shard differ from one another, and each of them from one moment to the next.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param speeds how many times as long as usual work takes, dealt out in turn; empty if all work as fast
 * @param spellShare the share of leafs that are in a spell, drawn anew each {@code spellEvery}
 * @param spellFactor how many times as long work takes that begins in a spell
 * @param spellEvery how long a spell lasts; zero for none
 * @param told whether leafs tell how long work takes at the moment
 */
record Unevenness(
        ImmutableList<Double> speeds, double spellShare, double spellFactor, Duration spellEvery, boolean told) {
    /** All leafs are alike at all times. */
    static final Unevenness NONE = new Unevenness(ImmutableList.of(), 0, 1, Duration.ZERO, false);

    /** Returns how many times as long as usual work takes at a leaf. */
    double speedOf(int shard, int replica) {
        return speeds.isEmpty() ? 1 : speeds.get((shard + replica) % speeds.size());
    }
}
