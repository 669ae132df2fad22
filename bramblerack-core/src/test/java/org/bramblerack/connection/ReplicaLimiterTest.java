package org.bramblerack.connection;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.version.Priority;
import org.junit.jupiter.api.Test;

final class ReplicaLimiterTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long FAR = 1_000_000 * MILLI;

    private final ReplicaLimiter limiter = new ReplicaLimiter(2);
    private final List<LimiterAction> actions = new ArrayList<>();

    @Test
    void neverDispatchesMoreCallsThanTheUpstreamHasSlots() {
        for (int call = 0; call < 10; call++) {
            actions.addAll(limiter.submit("c" + call, Priority.NORMAL, FAR, 0));
        }
        assertThat(dispatched()).containsExactly("c0", "c1").inOrder();
        actions.addAll(limiter.onFinished("c0", MILLI));
        assertThat(dispatched()).containsExactly("c0", "c1", "c2").inOrder();
    }

    @Test
    void urgentCallsGoFirstAndNormalCallsAreNotStarved() {
        for (int call = 0; call < 40; call++) {
            actions.addAll(limiter.submit("n" + call, Priority.NORMAL, FAR, 0));
            actions.addAll(limiter.submit("u" + call, Priority.URGENT, FAR, 0));
        }
        for (int step = 0; step < 24; step++) {
            actions.addAll(limiter.onFinished(dispatched().get(step), step * MILLI));
        }
        long normal = dispatched().stream().filter(call -> call.startsWith("n")).count();
        assertThat(normal).isAtLeast(3L);
        assertThat(normal).isAtMost(5L);
    }

    @Test
    void refusesAtOnceACallThatCannotFinishInTime() {
        limiter.submit("a", Priority.NORMAL, FAR, 0);
        limiter.submit("b", Priority.NORMAL, FAR, 0);
        for (int call = 0; call < 20; call++) {
            limiter.submit("w" + call, Priority.NORMAL, FAR, 0);
        }
        assertThat(limiter.submit("late", Priority.NORMAL, 3 * MILLI, 0))
                .containsExactly(new LimiterAction.Refuse("late", LeafFailure.QUEUE_FULL));
    }

    @Test
    void refusesACallThatExpiresInTheQueue() {
        limiter.submit("a", Priority.NORMAL, FAR, 0);
        limiter.submit("b", Priority.NORMAL, FAR, 0);
        limiter.submit("c", Priority.NORMAL, 5 * MILLI, 0);
        assertThat(limiter.onFinished("a", 6 * MILLI))
                .containsExactly(new LimiterAction.Refuse("c", LeafFailure.EXPIRED));
    }

    @Test
    void aCallCancelledInTheQueueIsRefused() {
        limiter.submit("a", Priority.NORMAL, FAR, 0);
        limiter.submit("b", Priority.NORMAL, FAR, 0);
        limiter.submit("c", Priority.NORMAL, FAR, 0);
        assertThat(limiter.cancel("c")).containsExactly(new LimiterAction.Refuse("c", LeafFailure.CANCELLED));
        assertThat(limiter.cancel("a")).containsExactly(new LimiterAction.CancelAtUpstream("a"));
        assertThat(limiter.running()).isEqualTo(2);
        assertThat(limiter.cancel("unknown")).isEmpty();
    }

    @Test
    void limitsConcurrencyAfterTheUpstreamShedsACall() {
        limiter.submit("a", Priority.NORMAL, FAR, 0);
        limiter.submit("b", Priority.NORMAL, FAR, 0);
        limiter.submit("c", Priority.NORMAL, FAR, 0);
        assertThat(limiter.onShed("a", MILLI)).isEmpty();
        assertThat(limiter.running()).isEqualTo(1);
    }

    private List<String> dispatched() {
        return actions.stream()
                .filter(LimiterAction.Dispatch.class::isInstance)
                .map(action -> ((LimiterAction.Dispatch) action).callId())
                .toList();
    }
}
