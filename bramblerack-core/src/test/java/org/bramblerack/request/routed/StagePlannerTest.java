package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafPool;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.version.routing.HomeRegions;
import org.junit.jupiter.api.Test;

final class StagePlannerTest {
    private static final long EXPECTED = Duration.ofMillis(20).toNanos();
    private static final long HEDGE_DELAY = Duration.ofMillis(40).toNanos();

    private final Map<String, String> hostsByRegion = new HashMap<>();
    private final Map<String, String> holders = new HashMap<>();
    private final Map<String, String> regionsOfHosts = new HashMap<>();
    private final Set<String> lagging = new HashSet<>();
    private final StagePlanner planner = new StagePlanner(new FixedTopology(), new SplittableRandom(1));

    @Test
    void shardsWithANearLeafAreCalledLocally() {
        hostsByRegion.put("west", "west-host");
        assertThat(plan(near(0), near(1), near(2))).isEmpty();
    }

    @Test
    void farShardsAreDelegatedToOneHostOfTheRegionWithTheMost() {
        hostsByRegion.put("west", "west-host");
        hostsByRegion.put("east", "east-host");
        ImmutableList<StageAttempt> stages = plan(far(0, "west"), far(1, "west"), far(2, "west"), near(3));
        assertThat(stages).hasSize(1);
        assertThat(stages.get(0).host()).isEqualTo("west-host");
        assertThat(stages.get(0).shards()).containsExactly(0, 1, 2);
    }

    @Test
    void aSingleFarShardIsCalledLocally() {
        hostsByRegion.put("west", "west-host");
        assertThat(plan(far(0, "west"), near(1))).isEmpty();
    }

    @Test
    void withoutAnAvailableHostAllShardsAreCalledLocally() {
        assertThat(plan(far(0, "west"), far(1, "west"))).isEmpty();
    }

    @Test
    void aSingleShardIsDelegatedToItsHolder() {
        holders.put("shard-1", "holder");
        ImmutableList<StageAttempt> stages = plan(near(0), near(1));
        assertThat(stages).hasSize(1);
        assertThat(stages.get(0).host()).isEqualTo("holder");
        assertThat(stages.get(0).shards()).containsExactly(1);
    }

    /** One merged reply crosses the region boundary in place of one for each holder. */
    @Test
    void holdersOfAnotherRegionAreCalledThroughOneRelay() {
        holders.put("shard-0", "near-holder");
        holders.put("shard-1", "west-1");
        holders.put("shard-2", "west-2");
        holders.put("shard-3", "west-1");
        holders.put("shard-4", "east-1");
        regionsOfHosts.put("west-1", "west");
        regionsOfHosts.put("west-2", "west");
        regionsOfHosts.put("east-1", "east");
        LeafPool[] pools = {near(0), far(1, "west"), far(2, "west"), far(3, "west"), far(4, "east")};
        ImmutableList<StageAttempt> stages = plan(pools);
        assertThat(stages).hasSize(3);
        assertThat(stages.get(0).host()).isEqualTo("near-holder");
        assertThat(stages.get(1).host()).startsWith("west-");
        assertThat(stages.get(1).shards()).containsExactly(1, 2, 3);
        assertThat(stages.get(2).host()).isEqualTo("east-1");
        assertThat(plan(StagePlanner.Relays.NOT_USED, pools)).hasSize(4);
    }

    @Test
    void aLaggingHolderIsNoRelayUnlessAllAreLagging() {
        holders.put("shard-0", "west-1");
        holders.put("shard-1", "west-2");
        regionsOfHosts.put("west-1", "west");
        regionsOfHosts.put("west-2", "west");
        LeafPool[] pools = {far(0, "west"), far(1, "west")};
        lagging.add("west-1");
        for (int query = 0; query < 20; query++) {
            assertThat(plan(pools).get(0).host()).isEqualTo("west-2");
        }
        lagging.add("west-2");
        assertThat(plan(pools).get(0).shards()).containsExactly(0, 1);
    }

    private ImmutableList<StageAttempt> plan(LeafPool... pools) {
        return plan(StagePlanner.Relays.USED, pools);
    }

    private ImmutableList<StageAttempt> plan(StagePlanner.Relays relays, LeafPool... pools) {
        ImmutableList<PermittedLeaves> permitted = Arrays.stream(pools)
                .map(pool -> pool.permitted(HomeRegions.ANY))
                .collect(ImmutableList.toImmutableList());
        return planner.plan(permitted, EXPECTED, HEDGE_DELAY, relays, 0);
    }

    private static LeafPool near(int shard) {
        return pool(shard, "here", Distance.SAME_ZONE);
    }

    private static LeafPool far(int shard, String region) {
        return pool(shard, region, Distance.OTHER_REGION);
    }

    /** Returns a pool with one leaf, whose address is its region. */
    private static LeafPool pool(int shard, String region, Distance distance) {
        String name = "shard-" + shard;
        LeafPool pool = new LeafPool(name, RoutedRequestHarness.budget(10, 10));
        pool.add(new Leaf(name, name, region, distance, 2, Duration.ZERO, 0));
        return pool;
    }

    private final class FixedTopology implements StagePlanner.Topology {
        @Override
        public Optional<String> otherRegionOf(String host) {
            return Optional.ofNullable(regionsOfHosts.get(host));
        }

        @Override
        public Optional<String> holderOf(Leaf leaf, HomeRegions homes) {
            return Optional.ofNullable(holders.get(leaf.id()));
        }

        @Override
        public String regionOf(Leaf leaf) {
            return leaf.address();
        }

        @Override
        public Optional<String> leastBusyIn(String region) {
            return Optional.ofNullable(hostsByRegion.get(region));
        }

        @Override
        public boolean isLagging(String host) {
            return lagging.contains(host);
        }

        @Override
        public long silenceTimeoutNanos(String host, long hedgeDelayNanos) {
            return 2 * hedgeDelayNanos;
        }
    }
}
