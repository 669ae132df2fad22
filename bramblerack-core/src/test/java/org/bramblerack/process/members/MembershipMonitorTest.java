package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.wire.HeardMembers;
import org.bramblerack.wire.HostRecord;
import org.junit.jupiter.api.Test;

final class MembershipMonitorTest {
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

    private static HostRecord host(String name) {
        return HostRecord.newBuilder()
                .setName(name)
                .setEntry(true)
                .setIncarnation(1)
                .setPhase(HostRecord.Phase.READY)
                .build();
    }
}
