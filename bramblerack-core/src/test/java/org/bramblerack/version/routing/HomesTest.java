package org.bramblerack.version.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

final class HomesTest {
    private static final Homes NORTH = Homes.of(ImmutableList.of("north"));
    private static final Homes NORTH_OR_SOUTH = Homes.of(ImmutableList.of("south", "north"));

    @Test
    void anEmptyListBindsNothing() {
        assertThat(Homes.of(ImmutableList.of())).isEqualTo(Homes.ANYWHERE);
        assertThat(Homes.ANYWHERE.allow("anything")).isTrue();
        assertThat(Homes.ANYWHERE.areNowhere()).isFalse();
    }

    @Test
    void onlyTheNamedRegionsAreAllowed() {
        assertThat(NORTH.allow("north")).isTrue();
        assertThat(NORTH.allow("south")).isFalse();
        assertThat(NORTH.allow("")).isFalse();
    }

    @Test
    void whereTwoBindBothDo() {
        assertThat(NORTH.and(NORTH_OR_SOUTH)).isEqualTo(NORTH);
        assertThat(Homes.ANYWHERE.and(NORTH)).isEqualTo(NORTH);
        assertThat(NORTH.and(Homes.ANYWHERE)).isEqualTo(NORTH);
        Homes none = NORTH.and(Homes.of(ImmutableList.of("south")));
        assertThat(none.areNowhere()).isTrue();
        assertThat(none.allow("north")).isFalse();
        assertThat(none.and(Homes.ANYWHERE).areNowhere()).isTrue();
    }
}
