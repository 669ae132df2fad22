package org.bramblerack.connection;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Every host computes the same few holders, evenly loaded, and a host that leaves moves few shards. */
final class ZoneHoldersTest {
    private static final ImmutableList<String> HOSTS = names("10.1.0.", 14);
    private static final ImmutableSortedSet<String> SERVICES = ImmutableSortedSet.copyOf(names("shard", 45));

    @Test
    void holdersAreFewAndEvenlyLoaded() {
        Map<String, Integer> held = countShardsByHolder(HOSTS);
        assertThat(held).hasSize(4);
        assertThat(Collections.max(held.values())).isAtMost(12);
    }

    @Test
    void theOrderOfTheHostsDoesNotMatter() {
        ZoneHolders straight = ZoneHolders.compute(HOSTS, SERVICES);
        ZoneHolders reversed = ZoneHolders.compute(HOSTS.reverse(), SERVICES);
        for (String service : SERVICES) {
            assertThat(reversed.of(service)).isEqualTo(straight.of(service));
        }
    }

    @Test
    void aHostWithoutShardsLeavesWithoutMovingAny() {
        Map<String, Integer> held = countShardsByHolder(HOSTS);
        String idle = HOSTS.stream()
                .filter(host -> !held.containsKey(host))
                .findFirst()
                .orElseThrow();
        assertThat(countMoved(idle)).isEqualTo(0);
    }

    @Test
    void aHolderThatLeavesMovesItsShardsAndFewOthers() {
        for (Map.Entry<String, Integer> holder : countShardsByHolder(HOSTS).entrySet()) {
            assertThat(countMoved(holder.getKey())).isAtLeast(holder.getValue());
            assertThat(countMoved(holder.getKey())).isAtMost(2 * holder.getValue() + 6);
        }
    }

    @Test
    void everyShardHasBackups() {
        ZoneHolders holders = ZoneHolders.compute(HOSTS, SERVICES);
        for (String service : SERVICES) {
            assertThat(holders.of(service)).hasSize(ZoneHolders.HOSTS_PER_SHARD);
            assertThat(holders.of(service)).containsNoDuplicates();
        }
    }

    @Test
    void aZoneMayHaveOneHostOrNone() {
        assertThat(ZoneHolders.compute(ImmutableList.of("lone"), SERVICES).of("shard1"))
                .containsExactly("lone");
        assertThat(ZoneHolders.compute(ImmutableList.of(), SERVICES).of("shard1"))
                .isEmpty();
        assertThat(ZoneHolders.compute(HOSTS, SERVICES).of("unknown")).isEmpty();
    }

    private static int countMoved(String gone) {
        ZoneHolders before = ZoneHolders.compute(HOSTS, SERVICES);
        ZoneHolders after = ZoneHolders.compute(
                HOSTS.stream().filter(host -> !host.equals(gone)).toList(), SERVICES);
        return (int) SERVICES.stream()
                .filter(service ->
                        !before.of(service).get(0).equals(after.of(service).get(0)))
                .count();
    }

    private static Map<String, Integer> countShardsByHolder(Collection<String> hosts) {
        ZoneHolders holders = ZoneHolders.compute(hosts, SERVICES);
        Map<String, Integer> held = new HashMap<>();
        SERVICES.forEach(service -> held.merge(holders.of(service).get(0), 1, Integer::sum));
        return held;
    }

    private static ImmutableList<String> names(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).collect(ImmutableList.toImmutableList());
    }
}
