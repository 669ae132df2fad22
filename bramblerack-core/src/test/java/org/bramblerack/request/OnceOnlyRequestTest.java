package org.bramblerack.request;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.UpstreamName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class OnceOnlyRequestTest {
    private static final long MILLI_NANOS = Duration.ofMillis(1).toNanos();
    private static final long DEADLINE_NANOS = 1_000 * MILLI_NANOS;
    private static final ImmutableList<UpstreamName> POOL =
            ImmutableList.of(FakeService.name(0, "a"), FakeService.name(0, "b"));

    private final FakeService service = new FakeService(1);
    private final OnceOnlyRequest request =
            new OnceOnlyRequest("o", POOL, service.tables, new SplittableRandom(1), 0, DEADLINE_NANOS);
    private final List<OnceOnlyAction> actions = new ArrayList<>(request.start());

    @Test
    void dispatchesNothingBeforeTheClaimIsGranted() {
        assertThat(countDispatches()).isEqualTo(0);
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        assertThat(countDispatches()).isEqualTo(1);
    }

    @Test
    void answersOnceItsOutcomeIsRecorded() {
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        apply(request.onReply(reply("o-1"), 2 * MILLI_NANOS));
        assertThat(actions).contains(new OnceOnlyAction.RecordRan(payload()));
        assertThat(request.isAnswered()).isFalse();
        apply(request.onRecorded());
        assertThat(actions).contains(new OnceOnlyAction.DeliverRan(payload(), false));
    }

    @Test
    void aClaimGrantedAfterTheRefusalIsReleasedAndNeverUsed() {
        apply(request.wake(DEADLINE_NANOS));
        assertThat(refusal().kind()).isEqualTo(RefusalKind.NO_QUORUM);
        apply(request.onClaimResult(new ClaimResult.Granted(), DEADLINE_NANOS + MILLI_NANOS));
        assertThat(countDispatches()).isEqualTo(0);
        assertThat(countActions(OnceOnlyAction.RecordNotRun.class)).isAtLeast(1);
    }

    @Test
    void aStalledAttemptDoesNotDispatchAfterItsDeadline() {
        apply(request.onClaimResult(new ClaimResult.Granted(), DEADLINE_NANOS - MILLI_NANOS));
        assertThat(countDispatches()).isEqualTo(0);
        apply(request.onRecorded());
        assertThat(refusal().kind().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @ParameterizedTest
    @EnumSource(value = LeafFailure.class, mode = EnumSource.Mode.EXCLUDE, names = "HARMFUL")
    void isRepeatedOnlyIfItCertainlyDidNotRun(LeafFailure failure) {
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        apply(request.onFailure(failure, 2 * MILLI_NANOS));
        assertThat(countDispatches()).isEqualTo(failure.isCertainlyNotRun() ? 2 : 1);
        assertThat(countActions(OnceOnlyAction.RecordUnknown.class)).isEqualTo(failure.isCertainlyNotRun() ? 0 : 1);
        if (failure.isCertainlyNotRun()) {
            apply(request.onFailure(failure, 3 * MILLI_NANOS));
            assertThat(countDispatches()).isEqualTo(2);
        }
        apply(request.onRecorded());
        RunState expected = failure.isCertainlyNotRun() ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN;
        assertThat(refusal().kind().runState()).isEqualTo(expected);
    }

    @Test
    void aHarmfulRequestIsNotSentToAnotherUpstream() {
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        apply(request.onFailure(LeafFailure.HARMFUL, 2 * MILLI_NANOS));
        assertThat(countDispatches()).isEqualTo(1);
        apply(request.onRecorded());
        assertThat(refusal().kind()).isEqualTo(RefusalKind.HARMFUL);
    }

    @Test
    void aLateReplyRecordsThatTheRequestRan() {
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        apply(request.wake(DEADLINE_NANOS));
        assertThat(refusal().kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
        apply(request.onReply(reply("o-1"), DEADLINE_NANOS + MILLI_NANOS));
        assertThat(actions).contains(new OnceOnlyAction.RecordRan(payload()));
    }

    @Test
    void cancelsBeforeTheDeadlineAndReportsNotRunOnceTheUpstreamConfirms() {
        apply(request.onClaimResult(new ClaimResult.Granted(), MILLI_NANOS));
        apply(request.wake(900 * MILLI_NANOS));
        assertThat(countActions(OnceOnlyAction.CancelDispatch.class)).isEqualTo(1);
        apply(request.onFailure(LeafFailure.CANCELLED, 910 * MILLI_NANOS));
        apply(request.onRecorded());
        assertThat(countDispatches()).isEqualTo(1);
        assertThat(refusal().kind()).isEqualTo(RefusalKind.UPSTREAM_REFUSED);
    }

    @Test
    void aResendGetsTheRecordedAnswer() {
        apply(request.onClaimResult(new ClaimResult.AlreadyRan(payload()), MILLI_NANOS));
        assertThat(actions).contains(new OnceOnlyAction.DeliverRan(payload(), true));
        assertThat(countDispatches()).isEqualTo(0);
    }

    private void apply(List<OnceOnlyAction> newActions) {
        actions.addAll(newActions);
    }

    private long countDispatches() {
        return countActions(OnceOnlyAction.Dispatch.class);
    }

    private long countActions(Class<? extends OnceOnlyAction> type) {
        return actions.stream().filter(type::isInstance).count();
    }

    private Refusal refusal() {
        return actions.stream()
                .filter(OnceOnlyAction.Refuse.class::isInstance)
                .map(action -> ((OnceOnlyAction.Refuse) action).refusal())
                .findFirst()
                .orElseThrow();
    }

    private static ByteString payload() {
        return ByteString.copyFromUtf8("done");
    }

    private static LeafReply reply(String callId) {
        return new LeafReply(
                callId, new ServedVersion(1, 0, 1), payload().size(), CheckedReply.checksum(payload()), payload());
    }
}
