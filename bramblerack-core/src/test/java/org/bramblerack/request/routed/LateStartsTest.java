package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LateStartsTest {
    private final LateStarts<String> starts = new LateStarts<>();

    @Test
    void nothingStartsWithoutRoomBeforeItsLimit() {
        starts.hold("a", 10);
        assertThat(starts.due(false, 9)).isEmpty();
        assertThat(starts.due(false, 10)).containsExactly("a");
        assertThat(starts.isEmpty()).isTrue();
    }

    @Test
    void oneStartsForEachLookThatFindsRoomTheNearestLimitFirst() {
        starts.hold("late", 30);
        starts.hold("soon", 20);
        assertThat(starts.peek().orElseThrow()).isEqualTo("soon");
        assertThat(starts.due(true, 0)).containsExactly("soon");
        assertThat(starts.due(true, 0)).containsExactly("late");
        assertThat(starts.due(true, 0)).isEmpty();
    }

    @Test
    void thoseWhoseLimitHasComeDoNotUseUpTheRoom() {
        starts.hold("over", 5);
        starts.hold("next", 20);
        starts.hold("last", 30);
        assertThat(starts.due(true, 5)).containsExactly("over", "next").inOrder();
        assertThat(starts.size()).isEqualTo(1);
    }

    @Test
    void aRequestWhoseCallerWentAwayIsForgotten() {
        starts.hold("gone", 5);
        starts.forget("gone");
        assertThat(starts.due(true, 10)).isEmpty();
    }
}
