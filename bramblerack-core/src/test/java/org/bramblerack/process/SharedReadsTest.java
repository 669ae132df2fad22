package org.bramblerack.process;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that is served by a read which began before its request, and against more than one read at a
 * time.
 */
final class SharedReadsTest {
    @Test
    void callersDuringAReadWaitForTheNextOne() {
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
    void limitsTheNumberOfWaitingCallers() {
        SharedReads<String> reads = new SharedReads<>(1);
        assertThat(reads.await("a")).isTrue();
        assertThat(reads.await("b")).isFalse();
        reads.begin();
        assertThat(reads.await("c")).isTrue();
    }

    @Property(tries = 500)
    void everyCallerIsServedOnceByALaterRead(@ForAll List<Boolean> arrivals) {
        SharedReads<Integer> reads = new SharedReads<>(Integer.MAX_VALUE);
        Map<Integer, Integer> readsBegunBefore = new HashMap<>();
        List<Integer> served = new ArrayList<>();
        int begun = 0;
        for (int step = 0; step < arrivals.size(); step++) {
            if (arrivals.get(step)) {
                readsBegunBefore.put(step, begun);
                assertThat(reads.await(step)).isTrue();
            } else {
                finish(reads, begun, readsBegunBefore, served);
            }
            begun += reads.begin() ? 1 : 0;
        }
        while (served.size() < readsBegunBefore.size()) {
            finish(reads, begun, readsBegunBefore, served);
            begun += reads.begin() ? 1 : 0;
        }
        assertThat(served).containsExactlyElementsIn(readsBegunBefore.keySet());
    }

    private static void finish(
            SharedReads<Integer> reads, int begun, Map<Integer, Integer> readsBegunBefore, List<Integer> served) {
        for (int waiter : reads.takeWaiters()) {
            assertThat(begun).isGreaterThan(readsBegunBefore.get(waiter));
            served.add(waiter);
        }
        reads.end();
    }
}
