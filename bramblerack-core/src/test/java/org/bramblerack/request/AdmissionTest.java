package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServiceName;
import org.junit.jupiter.api.Test;

final class AdmissionTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long FAR_DEADLINE_NANOS = 100_000 * MILLI_NANOS;

    private final Admission admission = new Admission(8);
    private final List<Admission.Decision> decisions = new ArrayList<>();

    @Test
    void neverExceedsTheHostLimit() {
        for (int number = 0; number < 50; number++) {
            offer("p" + number, "p", Priority.NORMAL, FAR_DEADLINE_NANOS);
        }
        assertThat(admission.inFlight()).isEqualTo(8);
        assertThat(admission.waiting()).isEqualTo(42);
    }

    @Test
    void aFloodingPartnerLeavesCapacityForOthers() {
        offer("q0", "q", Priority.NORMAL, FAR_DEADLINE_NANOS);
        finish("q");
        for (int number = 0; number < 50; number++) {
            offer("p" + number, "p", Priority.URGENT, FAR_DEADLINE_NANOS);
        }
        decisions.clear();
        offer("q1", "q", Priority.NORMAL, FAR_DEADLINE_NANOS);
        assertThat(admitted()).containsExactly("q1");
    }

    @Test
    void urgentQueriesGoFirstAndNormalOnesAreNotStarved() {
        for (int number = 0; number < 60; number++) {
            offer("n" + number, "p", Priority.NORMAL, FAR_DEADLINE_NANOS);
            offer("u" + number, "p", Priority.URGENT, FAR_DEADLINE_NANOS);
        }
        decisions.clear();
        for (int step = 0; step < 40; step++) {
            finish("p");
        }
        long admittedNormal =
                admitted().stream().filter(id -> id.startsWith("n")).count();
        assertThat(admittedNormal).isAtLeast(4L);
        assertThat(admittedNormal).isAtMost(6L);
    }

    @Test
    void refusesWithRetryAfterWhenTheDeadlineCannotBeMet() {
        for (int number = 0; number < 40; number++) {
            offer("p" + number, "p", Priority.NORMAL, FAR_DEADLINE_NANOS);
        }
        decisions.clear();
        offer("late", "p", Priority.NORMAL, 2 * MILLI_NANOS);
        Admission.Decision.Refuse refused = (Admission.Decision.Refuse) decisions.get(0);
        assertThat(refused.ticket().id()).isEqualTo("late");
        assertThat(refused.retryAfter()).isGreaterThan(Duration.ZERO);
    }

    @Test
    void refusesQueriesThatExpireWhileQueued() {
        for (int number = 0; number < 9; number++) {
            offer("p" + number, "p", Priority.NORMAL, 500 * MILLI_NANOS);
        }
        decisions.clear();
        decisions.addAll(admission.expire(500 * MILLI_NANOS));
        assertThat(decisions).hasSize(1);
        assertThat(admission.waiting()).isEqualTo(0);
    }

    /** Guards against refusing all queries of a service forever because its latency once exceeded their deadlines. */
    @Test
    void admitsAQueryDespiteASlowEstimateWhenNoneIsInFlight() {
        for (int number = 0; number < 60; number++) {
            offer("slow" + number, "p", Priority.NORMAL, 5_000 * MILLI_NANOS);
            decisions.addAll(admission.onFinished(
                    ticket("any", "p", Priority.NORMAL, 5_000 * MILLI_NANOS), 10_000 * MILLI_NANOS, MILLI_NANOS));
        }
        decisions.clear();
        offer("next", "p", Priority.NORMAL, 500 * MILLI_NANOS);
        assertThat(admitted()).containsExactly("next");
    }

    @Test
    void theAdaptiveLimitShrinksUnderHighLatencyAndRecovers() {
        AdaptiveLimit limit = new AdaptiveLimit(100);
        long nowNanos = 0;
        for (int query = 0; query < 200; query++) {
            nowNanos += 10 * MILLI_NANOS;
            limit.observe(10 * MILLI_NANOS, false, limit.limit(), nowNanos);
        }
        int limitBefore = limit.limit();
        assertThat(limitBefore).isGreaterThan(15);
        for (int query = 0; query < 200; query++) {
            nowNanos += 10 * MILLI_NANOS;
            limit.observe(100 * MILLI_NANOS, false, limit.limit(), nowNanos);
        }
        assertThat(limit.limit()).isLessThan(limitBefore / 2);
        assertThat(limit.expectedNanos()).isAtLeast(90 * MILLI_NANOS);
        for (int query = 0; query < 400; query++) {
            nowNanos += 10 * MILLI_NANOS;
            limit.observe(10 * MILLI_NANOS, false, limit.limit(), nowNanos);
        }
        assertThat(limit.limit()).isAtLeast(limitBefore);
    }

    private void offer(String id, String partner, Priority priority, long deadlineNanos) {
        decisions.addAll(admission.offer(ticket(id, partner, priority, deadlineNanos), 0));
    }

    private static Admission.Ticket ticket(String id, String partner, Priority priority, long deadlineNanos) {
        return new Admission.Ticket(id, new ServiceName(partner, "s"), priority, deadlineNanos);
    }

    private void finish(String partner) {
        decisions.addAll(admission.onFinished(
                ticket("any", partner, Priority.NORMAL, FAR_DEADLINE_NANOS), 10 * MILLI_NANOS, MILLI_NANOS));
    }

    private List<String> admitted() {
        return decisions.stream()
                .filter(Admission.Decision.Admit.class::isInstance)
                .map(decision -> ((Admission.Decision.Admit) decision).ticket().id())
                .toList();
    }
}
