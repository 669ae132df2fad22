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

/** After a start of the whole fleet all hosts request tables before a leader is elected. */
final class TableSubscriptionsTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long MAX_WAIT_NANOS = 700 * MILLI_NANOS;

    private final ReplicatedTables tables = new ReplicatedTables();
    private final TableSubscriptions subscriptions = new TableSubscriptions();
    private final List<TableDelta> deltas = new ArrayList<>();

    @BeforeEach
    void addHost() {
        tables.applyReport(HostRecord.newBuilder()
                .setName("host")
                .setPhase(HostRecord.Phase.READY)
                .build());
    }

    @Test
    void aHostWithoutTablesIsAnsweredOnceThereIsALeader() {
        addPull(0);
        subscriptions.completeDue(tables, false, MILLI_NANOS);
        assertThat(deltas).isEmpty();
        subscriptions.completeDue(tables, true, 2 * MILLI_NANOS);
        assertThat(deltas.get(0).getCurrent()).isTrue();
        assertThat(deltas.get(0).getHostsCount()).isEqualTo(1);
    }

    @Test
    void withoutALeaderAHostWithoutTablesGetsAnEmptyAnswer() {
        addPull(0);
        subscriptions.completeDue(tables, false, MAX_WAIT_NANOS);
        assertThat(deltas.get(0).getCurrent()).isFalse();
        assertThat(deltas.get(0).getHostsCount()).isEqualTo(0);
    }

    /** A departed leaf must become known everywhere, also where there is no contact with the leader. */
    @Test
    void aHostWithTablesIsSentChangesEvenWithoutALeader() {
        long knownRevision = tables.revision();
        tables.applyReport(HostRecord.newBuilder()
                .setName("another")
                .setPhase(HostRecord.Phase.READY)
                .build());
        addPull(knownRevision);
        subscriptions.completeDue(tables, false, MILLI_NANOS);
        assertThat(deltas.get(0).getCurrent()).isFalse();
        assertThat(deltas.get(0).getHostsCount()).isEqualTo(1);
    }

    private void addPull(long knownRevision) {
        Uni.createFrom()
                .<TableDelta>emitter(emitter -> subscriptions.add(knownRevision, emitter, 0))
                .subscribe()
                .with(deltas::add);
    }
}
