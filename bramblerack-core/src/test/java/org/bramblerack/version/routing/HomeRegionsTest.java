package org.bramblerack.version.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

final class HomeRegionsTest {
    private static final HomeRegions NORTH = HomeRegions.of(ImmutableList.of("north"));
    private static final HomeRegions NORTH_OR_SOUTH = HomeRegions.of(ImmutableList.of("south", "north"));

    @Test
    void anEmptyListRestrictsNothing() {
        assertThat(HomeRegions.of(ImmutableList.of())).isEqualTo(HomeRegions.ANY);
        assertThat(HomeRegions.ANY.allows("anything")).isTrue();
        assertThat(HomeRegions.ANY.allowsNone()).isFalse();
    }

    @Test
    void onlyTheNamedRegionsAreAllowed() {
        assertThat(NORTH.allows("north")).isTrue();
        assertThat(NORTH.allows("south")).isFalse();
        assertThat(NORTH.allows("")).isFalse();
    }

    @Test
    void theIntersectionAllowsOnlyRegionsOfBoth() {
        assertThat(NORTH.intersect(NORTH_OR_SOUTH)).isEqualTo(NORTH);
        assertThat(HomeRegions.ANY.intersect(NORTH)).isEqualTo(NORTH);
        assertThat(NORTH.intersect(HomeRegions.ANY)).isEqualTo(NORTH);
        HomeRegions none = NORTH.intersect(HomeRegions.of(ImmutableList.of("south")));
        assertThat(none.allowsNone()).isTrue();
        assertThat(none.allows("north")).isFalse();
        assertThat(none.intersect(HomeRegions.ANY).allowsNone()).isTrue();
    }
}
