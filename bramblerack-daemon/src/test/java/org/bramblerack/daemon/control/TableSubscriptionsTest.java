package org.bramblerack.daemon.control;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Every host of a fleet asks for the tables at once after a start, before the control hosts have elected a leader. */
final class TableSubscriptionsTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long HOLD = 700 * MILLI;

    private final ReplicatedTables tables = new ReplicatedTables();
    private final TableSubscriptions subscriptions = new TableSubscriptions();
    private final List<TableDelta> answers = new ArrayList<>();

    @BeforeEach
    void fill() {
        tables.applyReport(HostRecord.newBuilder()
                .setName("host")
                .setPhase(HostRecord.Phase.READY)
                .build());
    }

    @Test
    void aHostThatKnowsNothingIsAnsweredOnceALeaderIsHeard() {
        ask(0);
        subscriptions.answerDue(tables, false, MILLI);
        assertThat(answers).isEmpty();
        subscriptions.answerDue(tables, true, 2 * MILLI);
        assertThat(answers.get(0).getCurrent()).isTrue();
        assertThat(answers.get(0).getHostsCount()).isEqualTo(1);
    }

    @Test
    void withoutALeaderItIsToldNothingAtLast() {
        ask(0);
        subscriptions.answerDue(tables, false, HOLD);
        assertThat(answers.get(0).getCurrent()).isFalse();
        assertThat(answers.get(0).getHostsCount()).isEqualTo(0);
    }

    /** A leaf that leaves must be known everywhere, also where the leader is not heard. */
    @Test
    void aHostThatFollowsIsToldNewsInAnyCase() {
        long known = tables.revision();
        tables.applyReport(HostRecord.newBuilder()
                .setName("another")
                .setPhase(HostRecord.Phase.READY)
                .build());
        ask(known);
        subscriptions.answerDue(tables, false, MILLI);
        assertThat(answers.get(0).getCurrent()).isFalse();
        assertThat(answers.get(0).getHostsCount()).isEqualTo(1);
    }

    private void ask(long knownRevision) {
        Uni.createFrom()
                .<TableDelta>emitter(emitter -> subscriptions.add(knownRevision, emitter, 0))
                .subscribe()
                .with(answers::add);
    }
}
