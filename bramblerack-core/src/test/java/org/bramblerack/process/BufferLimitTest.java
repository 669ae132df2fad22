package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class BufferLimitTest {
    private final BufferLimit<String> limit = new BufferLimit<>(100);

    /** The message that grew last is not discarded for what others hold. */
    @Test
    void theLargestMessageIsDiscarded() {
        assertThat(limit.add("large", 70)).isEmpty();
        assertThat(limit.add("small", 30)).isEmpty();
        assertThat(limit.add("small", 10)).hasValue("large");
        limit.release("large");
        assertThat(limit.totalBytes()).isEqualTo(40);
        assertThat(limit.add("other", 60)).isEmpty();
    }

    @Test
    void aReleaseWithoutAMessageChangesNothing() {
        limit.add("one", 10);
        limit.release("two");
        limit.release("one");
        limit.release("one");
        assertThat(limit.totalBytes()).isEqualTo(0);
    }
}
