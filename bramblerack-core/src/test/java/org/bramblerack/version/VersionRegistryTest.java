package org.bramblerack.version;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

final class VersionRegistryTest {
    private static final ServiceName SERVICE = new ServiceName("p", "s");

    private final VersionRegistry registry = new VersionRegistry();

    @Test
    void choosesTheNewestVersionThatEveryShardServes() {
        report("a", 0, 2, 7, 8);
        report("b", 1, 2, 7);
        assertThat(registry.newest().orElseThrow().indexVersion()).isEqualTo(7);
        report("b", 1, 2, 7, 8);
        assertThat(registry.newest().orElseThrow().indexVersion()).isEqualTo(8);
    }

    @Test
    void choosesTheHighestCoverageIfNoVersionIsComplete() {
        report("a", 0, 3, 8);
        report("b", 1, 3, 7, 8);
        assertThat(registry.newest().orElseThrow().indexVersion()).isEqualTo(8);
        registry.setUsable(name("a"), false);
        report("c", 2, 3, 7);
        assertThat(registry.newest().orElseThrow().indexVersion()).isEqualTo(7);
    }

    @Test
    void countsTheShardsOfEachVersionSeparately() {
        report("a", 0, 1, 7);
        registry.record(name("a"), ImmutableSet.of(new ServedVersion(7, 0, 1), new ServedVersion(8, 0, 2)));
        assertThat(registry.newest().orElseThrow().shardCount()).isEqualTo(1);
        registry.record(name("b"), ImmutableSet.of(new ServedVersion(8, 1, 2)));
        assertThat(registry.newest().orElseThrow().shardCount()).isEqualTo(2);
    }

    @Test
    void removesAVersionThatIsGoneAndAnUpstreamThatIsNotDeclared() {
        report("a", 0, 1, 7, 8);
        registry.recordGone(name("a"), 8);
        assertThat(registry.newest().orElseThrow().indexVersion()).isEqualTo(7);
        registry.retainAll(ImmutableSet.of());
        assertThat(registry.newest().isPresent()).isFalse();
    }

    private void report(String upstream, int shard, int shardCount, long... versions) {
        ImmutableSet.Builder<ServedVersion> served = ImmutableSet.builder();
        for (long version : versions) {
            served.add(new ServedVersion(version, shard, shardCount));
        }
        registry.record(name(upstream), served.build());
    }

    private static UpstreamName name(String upstream) {
        return new UpstreamName(SERVICE, upstream);
    }
}
