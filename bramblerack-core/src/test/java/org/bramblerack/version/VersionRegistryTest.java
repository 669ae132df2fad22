package org.bramblerack.version;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import org.junit.jupiter.api.Test;

final class VersionRegistryTest {
    private static final ServiceName SERVICE = new ServiceName("p", "s");

    private final VersionRegistry board = new VersionRegistry();

    @Test
    void choosesTheNewestVersionThatEveryShardServes() {
        state("a", 0, 2, 7, 8);
        state("b", 1, 2, 7);
        assertThat(board.newest().orElseThrow().indexVersion()).isEqualTo(7);
        state("b", 1, 2, 7, 8);
        assertThat(board.newest().orElseThrow().indexVersion()).isEqualTo(8);
    }

    @Test
    void choosesTheHighestCoverageIfNoVersionIsWhole() {
        state("a", 0, 3, 8);
        state("b", 1, 3, 7, 8);
        assertThat(board.newest().orElseThrow().indexVersion()).isEqualTo(8);
        board.setUsable(name("a"), false);
        state("c", 2, 3, 7);
        assertThat(board.newest().orElseThrow().indexVersion()).isEqualTo(7);
    }

    @Test
    void countsTheShardsOfEachVersionSeparately() {
        state("a", 0, 1, 7);
        board.record(name("a"), ImmutableSet.of(new ServedVersion(7, 0, 1), new ServedVersion(8, 0, 2)));
        assertThat(board.newest().orElseThrow().shardCount()).isEqualTo(1);
        board.record(name("b"), ImmutableSet.of(new ServedVersion(8, 1, 2)));
        assertThat(board.newest().orElseThrow().shardCount()).isEqualTo(2);
    }

    @Test
    void forgetsAVersionThatIsGoneAndAnUpstreamThatIsNotDeclared() {
        state("a", 0, 1, 7, 8);
        board.recordGone(name("a"), 8);
        assertThat(board.newest().orElseThrow().indexVersion()).isEqualTo(7);
        board.retainAll(ImmutableSet.of());
        assertThat(board.newest().isPresent()).isFalse();
    }

    private void state(String upstream, int shard, int shardCount, long... versions) {
        ImmutableSet.Builder<ServedVersion> served = ImmutableSet.builder();
        for (long version : versions) {
            served.add(new ServedVersion(version, shard, shardCount));
        }
        board.record(name(upstream), served.build());
    }

    private static UpstreamName name(String upstream) {
        return new UpstreamName(SERVICE, upstream);
    }
}
