package org.bramblerack.process.agreement;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.bramblerack.wire.ApplyDeclaration;
import org.bramblerack.wire.ClaimRequest;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlSnapshot;
import org.bramblerack.wire.OutcomeKind;
import org.bramblerack.wire.RecordOutcome;
import org.junit.jupiter.api.Test;

final class ControlStateTest {
    private static final long RETENTION_MILLIS = 1_000;

    private final ControlState state = new ControlState();

    @Test
    void aConflictNamesTheChangeThatWon() {
        apply("p", "first", 0, "a");
        CommandResult loser = apply("p", "second", 0, "b");
        assertThat(loser.getKind()).isEqualTo(CommandResult.Kind.CONFLICT);
        assertThat(loser.getRevision()).isEqualTo(1);
        assertThat(loser.getWinnerChangeId()).isEqualTo("first");
    }

    @Test
    void aResendGetsItsFirstResultHundredsOfChangesAndASnapshotLater() throws Exception {
        CommandResult first = apply("p", "first", 0, "a");
        for (int change = 1; change <= 800; change++) {
            apply("p", "change-" + change, change, "text " + change);
        }
        ControlState restored = restored();
        assertThat(restored.apply(change("p", "first", 0, "a"))).isEqualTo(first);
        assertThat(restored.revision()).isEqualTo(801);
    }

    @Test
    void aChangeIdentifierCannotNameTwoTexts() {
        apply("p", "first", 0, "a");
        assertThat(apply("p", "first", 1, "b").getKind()).isEqualTo(CommandResult.Kind.MISMATCH);
    }

    @Test
    void aChangeOfOnePartnerDoesNotConflictWithAnother() {
        apply("p", "p1", 0, "a");
        assertThat(apply("q", "q1", 0, "b").getRevision()).isEqualTo(2);
        assertThat(apply("p", "p2", 1, "c").getRevision()).isEqualTo(3);
        assertThat(state.declarationsAfter(2)).hasSize(1);
    }

    @Test
    void aClaimIsGrantedToOneAttemptUntilItDidNotRun() {
        assertThat(claim("r", "a1", 1, 0).getKind()).isEqualTo(CommandResult.Kind.CLAIMED);
        assertThat(claim("r", "a1", 1, 0).getKind()).isEqualTo(CommandResult.Kind.CLAIMED);
        assertThat(claim("r", "a2", 1, 0).getKind()).isEqualTo(CommandResult.Kind.ALREADY);
        assertThat(outcome("r", "a2", OutcomeKind.NOT_RUN, 1).getKind()).isEqualTo(CommandResult.Kind.NOT_HOLDER);
        outcome("r", "a1", OutcomeKind.NOT_RUN, 1);
        assertThat(claim("r", "a1", 1, 0).getKind()).isEqualTo(CommandResult.Kind.ALREADY);
        assertThat(claim("r", "a2", 1, 0).getKind()).isEqualTo(CommandResult.Kind.CLAIMED);
    }

    @Test
    void anAttemptAbandonedBeforeItsClaimIsNeverGranted() {
        outcome("r", "a1", OutcomeKind.NOT_RUN, 1);
        assertThat(claim("r", "a1", 1, 0).getKind()).isEqualTo(CommandResult.Kind.ALREADY);
        assertThat(claim("r", "a2", 1, 0).getKind()).isEqualTo(CommandResult.Kind.CLAIMED);
    }

    @Test
    void anUnknownOutcomeCanOnlyBecomeRan() {
        claim("r", "a1", 1, 0);
        outcome("r", "a1", OutcomeKind.UNKNOWN, 1);
        assertThat(outcome("r", "a1", OutcomeKind.NOT_RUN, 1).getKind()).isEqualTo(CommandResult.Kind.ALREADY);
        assertThat(outcome("r", "a1", OutcomeKind.RAN, 1).getKind()).isEqualTo(CommandResult.Kind.RECORDED);
        assertThat(claim("r", "a2", 1, 0).getClaim().getAnswer()).isEqualTo(ByteString.copyFromUtf8("answer"));
    }

    @Test
    void anotherBodyUnderTheSameIdentifierIsRefused() {
        claim("r", "a1", 1, 0);
        Command other = Command.newBuilder()
                .setClaim(claimRequest("r", "a2", 1, 0).setBodyDigest(ByteString.copyFromUtf8("other")))
                .build();
        assertThat(state.apply(other).getKind()).isEqualTo(CommandResult.Kind.MISMATCH);
    }

    @Test
    void aResendLongAfterTheOutcomeExpiredIsNotRunAgain() throws Exception {
        claim("r", "a1", 1, 0);
        outcome("r", "a1", OutcomeKind.RAN, 1);
        claim("timed", "a1", 5, 4);
        claim("other", "a9", 2 * RETENTION_MILLIS, 0);
        assertThat(state.claim("s", "r")).isEqualTo(Optional.empty());
        assertThat(state.isExpired("s", "r")).isTrue();
        ControlState restored = restored();
        Command untimed =
                Command.newBuilder().setClaim(claimRequest("r", "a2", 3_000, 0)).build();
        Command timed = Command.newBuilder()
                .setClaim(claimRequest("timed", "a2", 3_000, 4))
                .build();
        assertThat(restored.apply(untimed).getKind()).isEqualTo(CommandResult.Kind.EXPIRED);
        assertThat(restored.apply(timed).getKind()).isEqualTo(CommandResult.Kind.EXPIRED);
    }

    @Test
    void theClockOfTheClaimsNeverGoesBack() {
        claim("r", "a1", 5_000, 0);
        assertThat(claim("q", "a1", 1, 0).getClaim().getAtMillis()).isEqualTo(5_000);
    }

    @Test
    void anIssueTimeInTheFutureIsRefused() {
        assertThat(claim("r", "a1", 1, 10_000_000).getKind()).isEqualTo(CommandResult.Kind.INVALID);
    }

    private ControlState restored() throws InvalidProtocolBufferException {
        ControlState restored = new ControlState();
        restored.restore(ControlSnapshot.parseFrom(state.toSnapshot()));
        assertThat(restored.toSnapshot()).isEqualTo(state.toSnapshot());
        return restored;
    }

    private CommandResult apply(String partner, String changeId, long expected, String text) {
        return state.apply(change(partner, changeId, expected, text));
    }

    private static Command change(String partner, String changeId, long expected, String text) {
        return Command.newBuilder()
                .setApplyDeclaration(ApplyDeclaration.newBuilder()
                        .setPartner(partner)
                        .setChangeId(changeId)
                        .setExpectedRevision(expected)
                        .setText(text))
                .build();
    }

    private CommandResult claim(String requestId, String attempt, long atMillis, long issuedAtMillis) {
        return state.apply(Command.newBuilder()
                .setClaim(claimRequest(requestId, attempt, atMillis, issuedAtMillis))
                .build());
    }

    private static ClaimRequest.Builder claimRequest(
            String requestId, String attempt, long atMillis, long issuedAtMillis) {
        return ClaimRequest.newBuilder()
                .setService("s")
                .setRequestId(requestId)
                .setAttempt(attempt)
                .setAtMillis(atMillis)
                .setIssuedAtMillis(issuedAtMillis)
                .setRetentionMillis(RETENTION_MILLIS)
                .setBodyDigest(ByteString.copyFromUtf8("body"));
    }

    private CommandResult outcome(String requestId, String attempt, OutcomeKind kind, long atMillis) {
        return state.apply(Command.newBuilder()
                .setOutcome(RecordOutcome.newBuilder()
                        .setService("s")
                        .setRequestId(requestId)
                        .setAttempt(attempt)
                        .setKind(kind)
                        .setAnswer(ByteString.copyFromUtf8("answer"))
                        .setAtMillis(atMillis))
                .build());
    }
}
