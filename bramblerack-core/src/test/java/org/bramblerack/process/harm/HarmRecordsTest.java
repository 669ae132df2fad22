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

/** What follows from reports of leafs that ended, step by step. */
final class HarmRecordsTest {
    private static final Fingerprint HARMFUL = new Fingerprint(1, 1);
    private static final Fingerprint BYSTANDER = new Fingerprint(2, 2);

    private final ReplicatedTables tables = new ReplicatedTables();
    private long nowMillis = 1_000;

    @Test
    void oneEndIsAnAccidentTwoAreTriedThreeOnTwoArrivalsAreBarred() {
        ended(HARMFUL, 1, 10);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.SUSPECTED));
        ended(HARMFUL, 1, 11);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        ended(HARMFUL, 2, 12);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    /** Many leafs may fail at once, with callers that come again at once; that shows who was there, not who did it. */
    @Test
    void whatHappensInOneMomentIsTriedAndNotBarred() {
        for (int arrival = 0; arrival < 5; arrival++) {
            ended(HARMFUL, arrival, 10 + arrival);
        }
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        ended(HARMFUL, 9, 20);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    /** Leafs may be back before a host has found that they ended. */
    @Test
    void arrivalsThatBrokeCountOnceALeafWasSeenToEnd() {
        broke(HARMFUL, 1);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.SUSPECTED));
        broke(HARMFUL, 2);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        broke(HARMFUL, 3);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
        ended(HARMFUL, 3, 10);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
    }

    @Test
    void aTrialThatReachedNoLeafIsGivenBack() {
        ended(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        giveBack(HARMFUL, 6);
        assertThat(isGranted(HARMFUL, 6)).isFalse();
        giveBack(HARMFUL, 5);
        assertThat(isGranted(HARMFUL, 6)).isTrue();
    }

    @Test
    void aTrialWhoseCallBrokeLetsTheNextOneBeTriedAndCounts() {
        ended(HARMFUL, 1, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        giveBack(HARMFUL, 5, TakeTrial.Outcome.BROKEN);
        assertThat(isGranted(HARMFUL, 6)).isTrue();
        giveBack(HARMFUL, 6, TakeTrial.Outcome.BROKEN);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(isGranted(HARMFUL, 7)).isFalse();
    }

    @Test
    void aTrialThatWasAnsweredClearsBeforeItsHostReports() {
        ended(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 5)).isTrue();
        giveBack(HARMFUL, 5, TakeTrial.Outcome.ANSWERED);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
        assertThat(isGranted(HARMFUL, 6)).isTrue();
        assertThat(isGranted(HARMFUL, 7)).isTrue();
    }

    @Test
    void anAnswerClears() {
        ended(HARMFUL, 1, 10, 11, 12);
        ended(HARMFUL, 2, 13);
        tables.applyReport(
                HarmReport.newBuilder().addSurvived(HARMFUL.toBytes()).build());
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
    }

    @Test
    void oneArrivalAtATimeIsTried() {
        ended(HARMFUL, 1, 10, 11);
        assertThat(isGranted(HARMFUL, 1)).isTrue();
        assertThat(isGranted(HARMFUL, 2)).isFalse();
        nowMillis += HarmRecords.TRIAL_MILLIS;
        assertThat(isGranted(HARMFUL, 3)).isTrue();
        ended(HARMFUL, 2, 12);
        nowMillis += HarmRecords.TRIAL_MILLIS;
        assertThat(isGranted(HARMFUL, 4)).isFalse();
    }

    @Test
    void aBystanderIsExplainedByTheHarmfulOne() {
        ended(HARMFUL, 1, 10, 11, 12, 13);
        ended(BYSTANDER, 2, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        ended(HARMFUL, 3, 14);
        ended(BYSTANDER, 4, 12);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(verdict(BYSTANDER)).isEqualTo(Optional.of(Verdict.ON_TRIAL));
    }

    @Test
    void barsOutliveASnapshotAndEndAfterAnHour() {
        ended(HARMFUL, 1, 10, 11);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        ended(HARMFUL, 2, 12);
        ReplicatedTables restored = new ReplicatedTables();
        restored.restore(tables.toSnapshot());
        assertThat(restored.harm().verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.BARRED));
        assertThat(restored.changesSince(0).getHarm(0).getVerdict()).isEqualTo(Verdict.BARRED);
        assertThat(restored.changesSince(0).getHarm(0).getLeafStartsList()).isEmpty();
        nowMillis += HarmRecords.QUARANTINE_MILLIS + 1;
        ended(BYSTANDER, 9, 99);
        assertThat(verdict(HARMFUL)).isEqualTo(Optional.of(Verdict.CLEARED));
    }

    @Test
    void whatIsKeptIsBoundedAndBarsGoLast() {
        ended(HARMFUL, 1, 1, 2);
        nowMillis += HarmRecords.MIN_SPREAD_MILLIS;
        ended(HARMFUL, 2, 3);
        for (int number = 0; number < 3 * HarmRecords.MAX_RECORDS; number++) {
            long[] leafStarts = new long[40];
            for (int each = 0; each < leafStarts.length; each++) {
                leafStarts[each] = 1_000L * number + each;
            }
            ended(new Fingerprint(7, number), 5, leafStarts);
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

    private void giveBack(Fingerprint fingerprint, long arrival) {
        giveBack(fingerprint, arrival, TakeTrial.Outcome.OUTCOME_UNSPECIFIED);
    }

    private void giveBack(Fingerprint fingerprint, long arrival, TakeTrial.Outcome outcome) {
        tables.takeTrial(trial(fingerprint, arrival)
                .setAtMillis(nowMillis)
                .setGivenBack(true)
                .setOutcome(outcome)
                .build());
    }

    private static TakeTrial.Builder trial(Fingerprint fingerprint, long arrival) {
        return TakeTrial.newBuilder().addFingerprints(fingerprint.toBytes()).setArrival(arrival);
    }

    private void broke(Fingerprint fingerprint, long arrival) {
        tables.applyReport(HarmReport.newBuilder()
                .addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .addBrokenArrivals(arrival))
                .setAtMillis(nowMillis)
                .build());
    }

    private void ended(Fingerprint fingerprint, long arrival, long... leafStarts) {
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
