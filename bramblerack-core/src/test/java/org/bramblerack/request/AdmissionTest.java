package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServiceName;
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
        finish("q");
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
            finish("p");
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

    /** A service that was slower than its deadlines once must not be refused for good. */
    @Test
    void anExpectationBeyondTheDeadlineIsTriedAgain() {
        for (int number = 0; number < 60; number++) {
            offer("slow" + number, "p", Priority.NORMAL, 5_000 * MILLI);
            decisions.addAll(
                    admission.onFinished(ticket("any", "p", Priority.NORMAL, 5_000 * MILLI), 10_000 * MILLI, MILLI));
        }
        decisions.clear();
        offer("next", "p", Priority.NORMAL, 500 * MILLI);
        assertThat(admitted()).containsExactly("next");
    }

    @Test
    void theLimitOfAServiceShrinksWhenItsQueriesTakeLongAndGrowsBack() {
        AdaptiveLimit limit = new AdaptiveLimit(100);
        long nowNanos = 0;
        for (int query = 0; query < 200; query++) {
            nowNanos += 10 * MILLI;
            limit.observe(10 * MILLI, false, limit.limit(), nowNanos);
        }
        int calm = limit.limit();
        assertThat(calm).isGreaterThan(15);
        for (int query = 0; query < 200; query++) {
            nowNanos += 10 * MILLI;
            limit.observe(100 * MILLI, false, limit.limit(), nowNanos);
        }
        assertThat(limit.limit()).isLessThan(calm / 2);
        assertThat(limit.expectedNanos()).isAtLeast(90 * MILLI);
        for (int query = 0; query < 400; query++) {
            nowNanos += 10 * MILLI;
            limit.observe(10 * MILLI, false, limit.limit(), nowNanos);
        }
        assertThat(limit.limit()).isAtLeast(calm);
    }

    private void offer(String id, String partner, Priority priority, long deadlineNanos) {
        decisions.addAll(admission.offer(ticket(id, partner, priority, deadlineNanos), 0));
    }

    private static Admission.Ticket ticket(String id, String partner, Priority priority, long deadlineNanos) {
        return new Admission.Ticket(id, new ServiceName(partner, "s"), priority, deadlineNanos);
    }

    private void finish(String partner) {
        decisions.addAll(admission.onFinished(ticket("any", partner, Priority.NORMAL, FAR), 10 * MILLI, MILLI));
    }

    private List<String> admitted() {
        return decisions.stream()
                .filter(Admission.Decision.Admit.class::isInstance)
                .map(decision -> ((Admission.Decision.Admit) decision).ticket().id())
                .toList();
    }
}
