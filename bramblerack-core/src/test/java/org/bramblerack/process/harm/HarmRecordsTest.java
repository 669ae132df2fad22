package org.bramblerack.process.harm;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord.Verdict;
import org.bramblerack.wire.HarmReport;
import org.bramblerack.wire.TakeTrial;
import org.junit.jupiter.api.Test;

/** Checks the verdicts that follow from reports of leaves that ended. */
final class HarmRecordsTest {
    private static final Fingerprint HARMFUL = new Fingerprint(1, 1);
    private static final Fingerprint INNOCENT = new Fingerprint(2, 2);

    private final ReplicatedTables tables = new ReplicatedTables();
    private long nowMillis = 1_000;

    @Test
    void oneEndIsASuspicionTwoATrialThreeAQuarantine() {
        reportEnd(HARMFUL, 1, 10);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.SUSPECTED));
        reportEnd(HARMFUL, 1, 11);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportEnd(HARMFUL, 2, 12);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    /** Many leaves may fail at once while the callers of an innocent request retry. */
    @Test
    void evidenceFromOneMomentLeadsToATrialOnly() {
        for (int arrival = 0; arrival < 5; arrival++) {
            reportEnd(HARMFUL, arrival, 10 + arrival);
        }
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportEnd(HARMFUL, 9, 20);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    /** A leaf may restart before a host detects its end. */
    @Test
    void disconnectedArrivalsCountOnceALeafEnded() {
        reportDisconnect(HARMFUL, 1);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.SUSPECTED));
        reportDisconnect(HARMFUL, 2);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportDisconnect(HARMFUL, 3);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        reportEnd(HARMFUL, 3, 10);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    @Test
    void aTrialThatReachedNoLeafCanBeEnded() {
        reportEnd(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        endTrial(HARMFUL, 6);
        assertThat(isGranted(HARMFUL, 6)).isFalse();
        endTrial(HARMFUL, 5);
        assertThat(isGranted(HARMFUL, 6)).isTrue();
    }

    @Test
    void aDisconnectedTrialCountsAndAllowsTheNextOne() {
        reportEnd(HARMFUL, 1, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        endTrial(HARMFUL, 5, TakeTrial.Outcome.BROKEN);
        assertThat(isGranted(HARMFUL, 6)).isTrue();
        endTrial(HARMFUL, 6, TakeTrial.Outcome.BROKEN);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(isGranted(HARMFUL, 7)).isFalse();
    }

    @Test
    void anAnsweredTrialClearsTheRequestAtOnce() {
        reportEnd(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        endTrial(HARMFUL, 5, TakeTrial.Outcome.ANSWERED);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
        assertThat(isGranted(HARMFUL, 6)).isTrue();
        assertThat(isGranted(HARMFUL, 7)).isTrue();
    }

    @Test
    void anAnswerClearsTheRequest() {
        reportEnd(HARMFUL, 1, 10, 11, 12);
        reportEnd(HARMFUL, 2, 13);
        tables.applyReport(
                HarmReport.newBuilder().addSurvived(HARMFUL.toBytes()).build());
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
    }

    @Test
    void oneArrivalAtATimeIsOnTrial() {
        reportEnd(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 1)).isTrue();
        assertThat(isGranted(HARMFUL, 2)).isFalse();
        nowMillis += HarmRecords.TRIAL_MILLIS;
        assertThat(isGranted(HARMFUL, 3)).isTrue();
        reportEnd(HARMFUL, 2, 12);
        nowMillis += HarmRecords.TRIAL_MILLIS;
        assertThat(isGranted(HARMFUL, 4)).isFalse();
    }

    @Test
    void aHarmfulRequestExplainsTheEndsOfAnInnocentOne() {
        reportEnd(HARMFUL, 1, 10, 11, 12, 13);
        reportEnd(INNOCENT, 2, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportEnd(HARMFUL, 3, 14);
        reportEnd(INNOCENT, 4, 12);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(verdict(INNOCENT)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
    }

    @Test
    void quarantineSurvivesASnapshotAndExpires() {
        reportEnd(HARMFUL, 1, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportEnd(HARMFUL, 2, 12);
        ReplicatedTables restored = new ReplicatedTables();
        restored.restore(tables.toSnapshot());
        assertThat(restored.harm().verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(restored.changesSince(0).getHarm(0).getVerdict()).isEqualTo(Verdict.BARRED);
        assertThat(restored.changesSince(0).getHarm(0).getLeafStartsList()).isEmpty();
        nowMillis += HarmRecords.QUARANTINE_MILLIS + 1;
        reportEnd(INNOCENT, 9, 99);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
    }

    @Test
    void theSizeIsBoundedAndQuarantinedRequestsAreEvictedLast() {
        reportEnd(HARMFUL, 1, 1, 2);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        reportEnd(HARMFUL, 2, 3);
        for (int number = 0; number < 3 * HarmRecords.MAX_RECORDS; number++) {
            long[] leafStarts = new long[40];
            for (int each = 0; each < leafStarts.length; each++) {
                leafStarts[each] = 1_000L * number + each;
            }
            reportEnd(new Fingerprint(7, number), 5, leafStarts);
        }
        assertThat(tables.harm().all().size()).isAtMost(HarmRecords.MAX_RECORDS);
        assertThat(tables.harm().all().stream()
                        .mapToInt(record -> record.getLeafStartsCount())
                        .sum())
                .isAtMost(HarmRecords.MAX_TOTAL_ENDS);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    private Optional<Verdict> verdict(Fingerprint fingerprint) {
        return tables.harm().verdict(fingerprint);
    }

    private boolean isGranted(Fingerprint fingerprint, long arrival) {
        TakeTrial.Builder trial = trial(fingerprint, arrival).setAtMillis(nowMillis);
        return tables.takeTrial(trial.build()).getKind() == CommandResult.Kind.ACCEPTED;
    }

    private void endTrial(Fingerprint fingerprint, long arrival) {
        endTrial(fingerprint, arrival, TakeTrial.Outcome.OUTCOME_UNSPECIFIED);
    }

    private void endTrial(Fingerprint fingerprint, long arrival, TakeTrial.Outcome outcome) {
        tables.takeTrial(trial(fingerprint, arrival)
                .setAtMillis(nowMillis)
                .setGivenBack(true)
                .setOutcome(outcome)
                .build());
    }

    private static TakeTrial.Builder trial(Fingerprint fingerprint, long arrival) {
        return TakeTrial.newBuilder().addFingerprints(fingerprint.toBytes()).setArrival(arrival);
    }

    private void reportDisconnect(Fingerprint fingerprint, long arrival) {
        tables.applyReport(HarmReport.newBuilder()
                .addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .addBrokenArrivals(arrival))
                .setAtMillis(nowMillis)
                .build());
    }

    private void reportEnd(Fingerprint fingerprint, long arrival, long... leafStarts) {
        HarmEvidence.Builder evidence =
                HarmEvidence.newBuilder().setFingerprint(fingerprint.toBytes()).addArrivals(arrival);
        for (long leafStart : leafStarts) {
            evidence.addLeafStarts(leafStart);
        }
        tables.applyReport(HarmReport.newBuilder()
                .addEnded(evidence)
                .setAtMillis(nowMillis)
                .build());
    }
}
