package org.bramblerack.connection;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.version.Priority;
import org.junit.jupiter.api.Test;

final class ReplicaGateTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long FAR = 1_000_000 * MILLI;

    private final ReplicaLimiter gate = new ReplicaLimiter(2);
    private final List<LimiterAction> actions = new ArrayList<>();

    @Test
    void neverHasMoreCallsAtTheUpstreamThanItHasSlots() {
        for (int call = 0; call < 10; call++) {
            actions.addAll(gate.submit("c" + call, Priority.NORMAL, FAR, 0));
        }
        assertThat(dispatched()).containsExactly("c0", "c1").inOrder();
        actions.addAll(gate.onFinished("c0", MILLI));
        assertThat(dispatched()).containsExactly("c0", "c1", "c2").inOrder();
    }

    @Test
    void urgentGoesFirstAndNormalIsNotStarved() {
        for (int call = 0; call < 40; call++) {
            actions.addAll(gate.submit("n" + call, Priority.NORMAL, FAR, 0));
            actions.addAll(gate.submit("u" + call, Priority.URGENT, FAR, 0));
        }
        for (int step = 0; step < 24; step++) {
            actions.addAll(gate.onFinished(dispatched().get(step), step * MILLI));
        }
        long normal = dispatched().stream().filter(call -> call.startsWith("n")).count();
        assertThat(normal).isAtLeast(3L);
        assertThat(normal).isAtMost(5L);
    }

    @Test
    void refusesAtOnceWhatCannotFinishInTime() {
        gate.submit("a", Priority.NORMAL, FAR, 0);
        gate.submit("b", Priority.NORMAL, FAR, 0);
        for (int call = 0; call < 20; call++) {
            gate.submit("w" + call, Priority.NORMAL, FAR, 0);
        }
        assertThat(gate.submit("late", Priority.NORMAL, 3 * MILLI, 0))
                .containsExactly(new LimiterAction.Refuse("late", LeafFailure.QUEUE_FULL));
    }

    @Test
    void refusesWhatExpiredWhileItWaited() {
        gate.submit("a", Priority.NORMAL, FAR, 0);
        gate.submit("b", Priority.NORMAL, FAR, 0);
        gate.submit("c", Priority.NORMAL, 5 * MILLI, 0);
        assertThat(gate.onFinished("a", 6 * MILLI)).containsExactly(new LimiterAction.Refuse("c", LeafFailure.EXPIRED));
    }

    @Test
    void aCancelledCallThatWaitedDidNotRun() {
        gate.submit("a", Priority.NORMAL, FAR, 0);
        gate.submit("b", Priority.NORMAL, FAR, 0);
        gate.submit("c", Priority.NORMAL, FAR, 0);
        assertThat(gate.cancel("c")).containsExactly(new LimiterAction.Refuse("c", LeafFailure.CANCELLED));
        assertThat(gate.cancel("a")).containsExactly(new LimiterAction.CancelAtUpstream("a"));
        assertThat(gate.running()).isEqualTo(2);
        assertThat(gate.cancel("unknown")).isEmpty();
    }

    @Test
    void sendsFewerAtATimeAfterTheUpstreamShed() {
        gate.submit("a", Priority.NORMAL, FAR, 0);
        gate.submit("b", Priority.NORMAL, FAR, 0);
        gate.submit("c", Priority.NORMAL, FAR, 0);
        assertThat(gate.onShed("a", MILLI)).isEmpty();
        assertThat(gate.running()).isEqualTo(1);
    }

    private List<String> dispatched() {
        return actions.stream()
                .filter(LimiterAction.Dispatch.class::isInstance)
                .map(action -> ((LimiterAction.Dispatch) action).callId())
                .toList();
    }
}
