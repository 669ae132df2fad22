package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.wire.LeafRecord;
import org.junit.jupiter.api.Test;

/** Checks which of several reports on one leaf are applied. */
final class LeafReportsTest {
    private static final LeafRecord FIRST_INCARNATION = LeafRecord.newBuilder()
            .setId("l")
            .setService("s")
            .setAddress("10.0.0.1:1")
            .setSlots(2)
            .setPhase(LeafRecord.Phase.READY)
            .setSequence(40)
            .setIncarnation(1_000)
            .build();
    private static final LeafRecord SECOND_INCARNATION =
            FIRST_INCARNATION.toBuilder().setIncarnation(2_000).setSequence(1).build();

    @Test
    void aLaterIncarnationIsNewerDespiteALowerSequence() {
        assertThat(LeafReports.isNewer(FIRST_INCARNATION, SECOND_INCARNATION)).isTrue();
        LeafRecord gone =
                FIRST_INCARNATION.toBuilder().setPhase(LeafRecord.Phase.GONE).build();
        assertThat(LeafReports.isNewer(gone, SECOND_INCARNATION)).isTrue();
    }

    @Test
    void reportsOfAnEarlierIncarnationAreStale() {
        LeafRecord late = FIRST_INCARNATION.toBuilder()
                .setSequence(99)
                .setPhase(LeafRecord.Phase.DRAINING)
                .build();
        assertThat(LeafReports.isNewer(SECOND_INCARNATION, late)).isFalse();
        LeafRecord lateEnd = late.toBuilder().setPhase(LeafRecord.Phase.GONE).build();
        assertThat(LeafReports.isNewer(SECOND_INCARNATION, lateEnd)).isFalse();
        LeafRecord withoutIncarnation = late.toBuilder().setIncarnation(0).build();
        assertThat(LeafReports.isNewer(SECOND_INCARNATION, withoutIncarnation)).isFalse();
    }

    @Test
    void aGoneReportWithoutIncarnationEndsTheKnownOne() {
        LeafRecord end = LeafRecord.newBuilder()
                .setId("l")
                .setPhase(LeafRecord.Phase.GONE)
                .build();
        assertThat(LeafReports.isNewer(SECOND_INCARNATION, end)).isTrue();
        LeafRecord ended = LeafReports.merge(SECOND_INCARNATION, end).build();
        assertThat(ended.getIncarnation()).isEqualTo(2_000);
        assertThat(ended.getService()).isEqualTo("s");
        assertThat(LeafReports.isNewer(ended, end)).isFalse();
        assertThat(LeafReports.isNewer(ended, SECOND_INCARNATION)).isFalse();
    }

    /** A report that another sender makes under the leaf's identifier must not replace its record. */
    @Test
    void anIncarnationNeverChangesItsServiceOrAddress() {
        LeafRecord later = FIRST_INCARNATION.toBuilder().setSequence(41).build();
        LeafRecord otherService = later.toBuilder().setService("t").build();
        LeafRecord otherAddress = later.toBuilder().setAddress("10.0.0.9:1").build();
        assertThat(LeafReports.isNewer(FIRST_INCARNATION, otherService)).isFalse();
        assertThat(LeafReports.isNewer(FIRST_INCARNATION, otherAddress)).isFalse();
        assertThat(LeafReports.isNewer(
                        FIRST_INCARNATION,
                        later.toBuilder().setPhase(LeafRecord.Phase.DRAINING).build()))
                .isTrue();
    }

    /** Each report of a cold leaf has its remaining cold time; only a change between cold and warm is applied. */
    @Test
    void becomingColdOrWarmIsNewer() {
        LeafRecord cold = FIRST_INCARNATION.toBuilder()
                .setSequence(41)
                .setColdMillis(3_000)
                .build();
        assertThat(LeafReports.isNewer(FIRST_INCARNATION, cold)).isTrue();
        LeafRecord lessCold =
                cold.toBuilder().setSequence(42).setColdMillis(1_800).build();
        assertThat(LeafReports.isNewer(cold, lessCold)).isFalse();
        assertThat(LeafReports.isNewer(
                        cold, lessCold.toBuilder().setColdMillis(0).build()))
                .isTrue();
    }
}
