package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.wire.HeardMembers;
import org.bramblerack.wire.HostRecord;
import org.junit.jupiter.api.Test;

final class MemberWatchTest {
    private final AgreedTables tables = new AgreedTables();
    private final MemberWatch leader = new MemberWatch();

    @Test
    void theRateOfAllHostsIsKnownOnceEachHasToldItsOwn() {
        tables.report(host("one"));
        tables.report(host("two"));
        leader.heardHost("one", 120, 0);
        assertThat(leader.queriesAMinute(tables)).isEmpty();
        MemberWatch other = new MemberWatch();
        other.heardHost("two", 60, 0);
        HeardMembers report = other.takeReport();
        leader.merge(report, 0);
        assertThat(leader.queriesAMinute(tables)).hasValue(180);
    }

    @Test
    void whoBeginsToLeadKnowsNoRateYet() {
        tables.report(host("one"));
        leader.heardHost("one", 120, 0);
        leader.restart(tables, 0);
        assertThat(leader.queriesAMinute(tables)).isEmpty();
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
