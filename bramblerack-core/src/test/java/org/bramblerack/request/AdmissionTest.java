package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.version.Priority;
import org.junit.jupiter.api.Test;

final class AdmissionTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long FAR = 100_000 * MILLI;

    private final Admission admission = new Admission(8);
    private final List<Admission.Decision> decisions = new ArrayList<>();

    @Test
    void oneHostsLimitIsNeverPassed() {
        for (int number = 0; number < 50; number++) {
            offer("p" + number, "p", Priority.NORMAL, FAR);
        }
        assertThat(admission.inFlight()).isEqualTo(8);
        assertThat(admission.waiting()).isEqualTo(42);
    }

    @Test
    void onePartnersFloodLeavesTheOtherItsPlace() {
        offer("q0", "q", Priority.NORMAL, FAR);
        decisions.addAll(admission.finished("q", MILLI, MILLI));
        for (int number = 0; number < 50; number++) {
            offer("p" + number, "p", Priority.URGENT, FAR);
        }
        decisions.clear();
        offer("q1", "q", Priority.NORMAL, FAR);
        assertThat(admitted()).containsExactly("q1");
    }

    @Test
    void urgentGoesFirstAndNormalIsNotStarved() {
        for (int number = 0; number < 60; number++) {
            offer("n" + number, "p", Priority.NORMAL, FAR);
            offer("u" + number, "p", Priority.URGENT, FAR);
        }
        decisions.clear();
        for (int step = 0; step < 40; step++) {
            decisions.addAll(admission.finished("p", MILLI, MILLI));
        }
        long normal = admitted().stream().filter(id -> id.startsWith("n")).count();
        assertThat(normal).isAtLeast(4L);
        assertThat(normal).isAtMost(6L);
    }

    @Test
    void refusesAtOnceWhatCannotBeginInTimeAndSaysWhenToComeBack() {
        for (int number = 0; number < 40; number++) {
            offer("p" + number, "p", Priority.NORMAL, FAR);
        }
        decisions.clear();
        offer("late", "p", Priority.NORMAL, 2 * MILLI);
        Admission.Decision.Refuse refused = (Admission.Decision.Refuse) decisions.get(0);
        assertThat(refused.ticket().id()).isEqualTo("late");
        assertThat(refused.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Test
    void refusesWhatExpiredWhileItWaited() {
        for (int number = 0; number < 9; number++) {
            offer("p" + number, "p", Priority.NORMAL, 500 * MILLI);
        }
        decisions.clear();
        decisions.addAll(admission.expire(500 * MILLI));
        assertThat(decisions).hasSize(1);
        assertThat(admission.waiting()).isEqualTo(0);
    }

    private void offer(String id, String partner, Priority priority, long deadlineNanos) {
        decisions.addAll(admission.offer(new Admission.Ticket(id, partner, priority, deadlineNanos), 0));
    }

    private List<String> admitted() {
        return decisions.stream()
                .filter(Admission.Decision.Admit.class::isInstance)
                .map(decision -> ((Admission.Decision.Admit) decision).ticket().id())
                .toList();
    }
}
