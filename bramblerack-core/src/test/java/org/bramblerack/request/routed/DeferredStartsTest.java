package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class DeferredStartsTest {
    private final DeferredStarts<String> starts = new DeferredStarts<>();

    @Test
    void nothingStartsWithoutCapacityBeforeItsLimit() {
        starts.defer("a", 10);
        assertThat(starts.pollDue(false, 9)).isEmpty();
        assertThat(starts.pollDue(false, 10)).containsExactly("a");
        assertThat(starts.isEmpty()).isTrue();
    }

    @Test
    void oneStartsPerPollWithCapacityNearestLimitFirst() {
        starts.defer("late", 30);
        starts.defer("soon", 20);
        assertThat(starts.peek().orElseThrow()).isEqualTo("soon");
        assertThat(starts.pollDue(true, 0)).containsExactly("soon");
        assertThat(starts.pollDue(true, 0)).containsExactly("late");
        assertThat(starts.pollDue(true, 0)).isEmpty();
    }

    @Test
    void requestsAtTheirLimitDoNotUseTheCapacity() {
        starts.defer("over", 5);
        starts.defer("next", 20);
        starts.defer("last", 30);
        assertThat(starts.pollDue(true, 5)).containsExactly("over", "next").inOrder();
        assertThat(starts.size()).isEqualTo(1);
    }

    @Test
    void aRemovedRequestNeverStarts() {
        starts.defer("gone", 5);
        starts.remove("gone");
        assertThat(starts.pollDue(true, 10)).isEmpty();
    }
}
