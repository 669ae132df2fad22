package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.wire.ForgetMembers;
import org.bramblerack.wire.HeardMembers;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.junit.jupiter.api.Test;

final class MembershipMonitorTest {
    private static final long SECOND_NANOS = 1_000_000_000;

    private final ReplicatedTables tables = new ReplicatedTables();
    private final MembershipMonitor leader = new MembershipMonitor();

    @Test
    void theTotalRateIsKnownOnceEachHostHasReported() {
        tables.applyReport(host("one"));
        tables.applyReport(host("two"));
        leader.recordHostContact("one", 120, 0);
        assertThat(leader.queriesPerMinute(tables)).isEmpty();
        MembershipMonitor other = new MembershipMonitor();
        other.recordHostContact("two", 60, 0);
        HeardMembers report = other.takeReport();
        leader.merge(report, 0);
        assertThat(leader.queriesPerMinute(tables)).hasValue(180);
    }

    @Test
    void aNewLeaderHasNoRateYet() {
        tables.applyReport(host("one"));
        leader.recordHostContact("one", 120, 0);
        leader.reset(tables, 0);
        assertThat(leader.queriesPerMinute(tables)).isEmpty();
    }

    @Test
    void aHostThatNobodyHearsFromIsSilent() {
        leader.reset(tables, 0);
        tables.applyReport(host("heard"));
        tables.applyReport(host("silent"));
        long nowNanos = 0;
        while (nowNanos <= MembershipMonitor.HOST_TIMEOUT.toNanos()) {
            leader.recordHostContact("heard", 0, nowNanos);
            assertThat(leader.silentMembers(tables, nowNanos).getHostsList()).isEmpty();
            nowNanos += SECOND_NANOS;
        }
        assertThat(leader.silentMembers(tables, nowNanos).getHostsList())
                .containsExactly(tables.host("silent").orElseThrow());
    }

    /** Guards against the removal of all hosts after a stall of the leader, during which it heard from nobody. */
    @Test
    void aLeaderThatWasStalledWaitsForContactsAnew() {
        tables.applyReport(host("h"));
        tables.applyReport(leaf("l"));
        leader.reset(tables, 0);
        assertThat(leader.silentMembers(tables, 0)).isEqualTo(ForgetMembers.getDefaultInstance());
        long resumedNanos = 30 * SECOND_NANOS;
        assertThat(leader.silentMembers(tables, resumedNanos)).isEqualTo(ForgetMembers.getDefaultInstance());
        long nowNanos = resumedNanos;
        while (nowNanos - resumedNanos < MembershipMonitor.HOST_TIMEOUT.toNanos()) {
            nowNanos += SECOND_NANOS;
            assertThat(leader.silentMembers(tables, nowNanos)).isEqualTo(ForgetMembers.getDefaultInstance());
        }
        nowNanos += SECOND_NANOS;
        assertThat(leader.silentMembers(tables, nowNanos).getHostsList()).hasSize(1);
    }

    private static LeafRecord leaf(String id) {
        return LeafRecord.newBuilder()
                .setId(id)
                .setService("s")
                .setAddress("10.0.0.1:1")
                .setPhase(LeafRecord.Phase.READY)
                .build();
    }

    private static HostRecord host(String name) {
        return HostRecord.newBuilder()
                .setName(name)
                .setEntry(true)
                .setIncarnation(1)
                .setPhase(HostRecord.Phase.READY)
                .build();
    }
}
