package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Attempts at shards that are delegated to other hosts. */
final class DelegatedAttemptsTest {
    private static final int SEEDS = 2_000;

    /** Guards against a host and its delegate using the same permitted attempt after either was delayed. */
    @Test
    void noShardRunsOnMoreLeavesThanPermittedWhateverIsDelayed() {
        ImmutableList.Builder<String> exceeded = ImmutableList.builder();
        Set<String> usedAllAttempts = new HashSet<>();
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(seed);
            fleet.run();
            for (Multiset.Entry<String> shard : fleet.runs().entrySet()) {
                if (shard.getCount() == SimulatedFleet.MAX_ATTEMPTS) {
                    usedAllAttempts.add(shard.getElement());
                }
                if (shard.getCount() > SimulatedFleet.MAX_ATTEMPTS) {
                    exceeded.add("seed " + seed + ": " + shard);
                }
            }
            assertWithMessage("outcomes with seed %s", seed)
                    .that(fleet.outcomes())
                    .isEqualTo(1);
        }
        assertWithMessage("shards that ran on more than %s leaves", SimulatedFleet.MAX_ATTEMPTS)
                .that(exceeded.build())
                .isEmpty();
        assertThat(usedAllAttempts).containsAtLeastElementsIn(SimulatedFleet.delegatedShards());
    }
}
