package org.bramblerack.process.members;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.wire.LeafRecord;
import org.junit.jupiter.api.Test;

/** Which of the reports that arrive under one identifier count. */
final class LeafReportsTest {
    private static final LeafRecord FIRST_LIFE = LeafRecord.newBuilder()
            .setId("l")
            .setService("s")
            .setAddress("10.0.0.1:1")
            .setSlots(2)
            .setPhase(LeafRecord.Phase.READY)
            .setSequence(40)
            .setIncarnation(1_000)
            .build();
    private static final LeafRecord SECOND_LIFE =
            FIRST_LIFE.toBuilder().setIncarnation(2_000).setSequence(1).build();

    @Test
    void aLaterLifeCountsThoughItsReportsBeginAnew() {
        assertThat(LeafReports.isNews(FIRST_LIFE, SECOND_LIFE)).isTrue();
        LeafRecord gone = FIRST_LIFE.toBuilder().setPhase(LeafRecord.Phase.GONE).build();
        assertThat(LeafReports.isNews(gone, SECOND_LIFE)).isTrue();
    }

    @Test
    void whatAnEarlierLifeSaidComesTooLate() {
        LeafRecord late = FIRST_LIFE.toBuilder()
                .setSequence(99)
                .setPhase(LeafRecord.Phase.DRAINING)
                .build();
        assertThat(LeafReports.isNews(SECOND_LIFE, late)).isFalse();
        LeafRecord lateEnd = late.toBuilder().setPhase(LeafRecord.Phase.GONE).build();
        assertThat(LeafReports.isNews(SECOND_LIFE, lateEnd)).isFalse();
        LeafRecord unsaid = late.toBuilder().setIncarnation(0).build();
        assertThat(LeafReports.isNews(SECOND_LIFE, unsaid)).isFalse();
    }

    @Test
    void anEndThatNamesNoLifeEndsTheOneThatIsKnown() {
        LeafRecord end = LeafRecord.newBuilder()
                .setId("l")
                .setPhase(LeafRecord.Phase.GONE)
                .build();
        assertThat(LeafReports.isNews(SECOND_LIFE, end)).isTrue();
        LeafRecord ended = LeafReports.merge(SECOND_LIFE, end).build();
        assertThat(ended.getIncarnation()).isEqualTo(2_000);
        assertThat(ended.getService()).isEqualTo("s");
        assertThat(LeafReports.isNews(ended, end)).isFalse();
        assertThat(LeafReports.isNews(ended, SECOND_LIFE)).isFalse();
    }

    /** A record that another writer put under the identifier must not take the leaf away. */
    @Test
    void oneLifeNeverChangesItsServiceOrAddress() {
        LeafRecord later = FIRST_LIFE.toBuilder().setSequence(41).build();
        LeafRecord otherService = later.toBuilder().setService("t").build();
        LeafRecord otherAddress = later.toBuilder().setAddress("10.0.0.9:1").build();
        assertThat(LeafReports.isNews(FIRST_LIFE, otherService)).isFalse();
        assertThat(LeafReports.isNews(FIRST_LIFE, otherAddress)).isFalse();
        assertThat(LeafReports.isNews(
                        FIRST_LIFE,
                        later.toBuilder().setPhase(LeafRecord.Phase.DRAINING).build()))
                .isTrue();
    }

    /** A leaf may turn cold at any time of its life; it says so with each report, but only a change is news. */
    @Test
    void turningColdAndWarmIsNews() {
        LeafRecord cold =
                FIRST_LIFE.toBuilder().setSequence(41).setColdMillis(3_000).build();
        assertThat(LeafReports.isNews(FIRST_LIFE, cold)).isTrue();
        LeafRecord lessCold =
                cold.toBuilder().setSequence(42).setColdMillis(1_800).build();
        assertThat(LeafReports.isNews(cold, lessCold)).isFalse();
        assertThat(LeafReports.isNews(
                        cold, lessCold.toBuilder().setColdMillis(0).build()))
                .isTrue();
    }
}
