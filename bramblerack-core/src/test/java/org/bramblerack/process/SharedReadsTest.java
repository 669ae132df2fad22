package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Load: many ask at once for the same thing, before, while and after it is read. */
final class SharedReadsTest {
    @Test
    void thoseWhoComeDuringAReadWaitForTheNext() {
        SharedReads<String> reads = new SharedReads<>(10);
        assertThat(reads.begin()).isFalse();
        assertThat(reads.await("a")).isTrue();
        assertThat(reads.begin()).isTrue();
        assertThat(reads.await("b")).isTrue();
        assertThat(reads.begin()).isFalse();
        assertThat(reads.takeWaiters()).containsExactly("a");
        reads.end();
        assertThat(reads.begin()).isTrue();
        assertThat(reads.takeWaiters()).containsExactly("b");
    }

    @Test
    void noMoreWaitThanAreAllowed() {
        SharedReads<String> reads = new SharedReads<>(1);
        assertThat(reads.await("a")).isTrue();
        assertThat(reads.await("b")).isFalse();
        reads.begin();
        assertThat(reads.await("c")).isTrue();
    }

    /** Each is answered once, by a read that began after it asked. */
    @Property(tries = 500)
    void everybodyIsAnsweredByALaterRead(@ForAll List<Boolean> asks) {
        SharedReads<Integer> reads = new SharedReads<>(Integer.MAX_VALUE);
        Map<Integer, Integer> askedAfter = new HashMap<>();
        List<Integer> answered = new ArrayList<>();
        int begun = 0;
        for (int step = 0; step < asks.size(); step++) {
            if (asks.get(step)) {
                askedAfter.put(step, begun);
                assertThat(reads.await(step)).isTrue();
            } else {
                finish(reads, begun, askedAfter, answered);
            }
            begun += reads.begin() ? 1 : 0;
        }
        while (answered.size() < askedAfter.size()) {
            finish(reads, begun, askedAfter, answered);
            begun += reads.begin() ? 1 : 0;
        }
        assertThat(answered).containsExactlyElementsIn(askedAfter.keySet());
    }

    private static void finish(
            SharedReads<Integer> reads, int begun, Map<Integer, Integer> askedAfter, List<Integer> answered) {
        for (int waiter : reads.takeWaiters()) {
            assertThat(begun).isGreaterThan(askedAfter.get(waiter));
            answered.add(waiter);
        }
        reads.end();
    }
}
