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
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long DEADLINE = 1_000 * MILLI;
    private static final ImmutableList<UpstreamName> POOL =
            ImmutableList.of(FakeService.name(0, "a"), FakeService.name(0, "b"));

    private final FakeService service = new FakeService(1);
    private final OnceOnlyRequest request =
            new OnceOnlyRequest("o", POOL, service.tables, new SplittableRandom(1), 0, DEADLINE);
    private final List<OnceOnlyAction> actions = new ArrayList<>(request.start());

    @Test
    void dispatchesNothingBeforeTheClaimIsGranted() {
        assertThat(dispatches()).isEqualTo(0);
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        assertThat(dispatches()).isEqualTo(1);
    }

    @Test
    void answersOnceItsOutcomeIsRecorded() {
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        take(request.onReply(reply("o-1"), 2 * MILLI));
        assertThat(actions).contains(new OnceOnlyAction.RecordRan(payload()));
        assertThat(request.isAnswered()).isFalse();
        take(request.onRecorded());
        assertThat(actions).contains(new OnceOnlyAction.DeliverRan(payload(), false));
    }

    @Test
    void aClaimGrantedAfterTheRefusalIsReleasedAndNeverUsed() {
        take(request.wake(DEADLINE));
        assertThat(refusal().kind()).isEqualTo(RefusalKind.NO_QUORUM);
        take(request.onClaimResult(new ClaimResult.Granted(), DEADLINE + MILLI));
        assertThat(dispatches()).isEqualTo(0);
        assertThat(records(OnceOnlyAction.RecordNotRun.class)).isAtLeast(1);
    }

    @Test
    void aStalledAttemptDoesNotDispatchAfterItsDeadline() {
        take(request.onClaimResult(new ClaimResult.Granted(), DEADLINE - MILLI));
        assertThat(dispatches()).isEqualTo(0);
        take(request.onRecorded());
        assertThat(refusal().kind().runState()).isEqualTo(RunState.NOT_RUN);
    }

    @ParameterizedTest
    @EnumSource(value = LeafFailure.class, mode = EnumSource.Mode.EXCLUDE, names = "HARMFUL")
    void isRepeatedOnlyIfItCertainlyDidNotRun(LeafFailure failure) {
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        take(request.onFailure(failure, 2 * MILLI));
        assertThat(dispatches()).isEqualTo(failure.isCertainlyNotRun() ? 2 : 1);
        assertThat(records(OnceOnlyAction.RecordUnknown.class)).isEqualTo(failure.isCertainlyNotRun() ? 0 : 1);
        if (failure.isCertainlyNotRun()) {
            take(request.onFailure(failure, 3 * MILLI));
            assertThat(dispatches()).isEqualTo(2);
        }
        take(request.onRecorded());
        RunState expected = failure.isCertainlyNotRun() ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN;
        assertThat(refusal().kind().runState()).isEqualTo(expected);
    }

    @Test
    void whatEndsUpstreamsIsHandedToNoOtherOne() {
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        take(request.onFailure(LeafFailure.HARMFUL, 2 * MILLI));
        assertThat(dispatches()).isEqualTo(1);
        take(request.onRecorded());
        assertThat(refusal().kind()).isEqualTo(RefusalKind.HARMFUL);
    }

    @Test
    void aLateReplyTurnsAnUnknownOutcomeIntoOneThatRan() {
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        take(request.wake(DEADLINE));
        assertThat(refusal().kind()).isEqualTo(RefusalKind.OUTCOME_UNKNOWN);
        take(request.onReply(reply("o-1"), DEADLINE + MILLI));
        assertThat(actions).contains(new OnceOnlyAction.RecordRan(payload()));
    }

    @Test
    void cancelsBeforeTheDeadlineAndBelievesATruthfulCancellation() {
        take(request.onClaimResult(new ClaimResult.Granted(), MILLI));
        take(request.wake(900 * MILLI));
        assertThat(records(OnceOnlyAction.CancelDispatch.class)).isEqualTo(1);
        take(request.onFailure(LeafFailure.CANCELLED, 910 * MILLI));
        take(request.onRecorded());
        assertThat(dispatches()).isEqualTo(1);
        assertThat(refusal().kind()).isEqualTo(RefusalKind.UPSTREAM_REFUSED);
    }

    @Test
    void aResendGetsTheRecordedAnswer() {
        take(request.onClaimResult(new ClaimResult.AlreadyRan(payload()), MILLI));
        assertThat(actions).contains(new OnceOnlyAction.DeliverRan(payload(), true));
        assertThat(dispatches()).isEqualTo(0);
    }

    private void take(List<OnceOnlyAction> more) {
        actions.addAll(more);
    }

    private long dispatches() {
        return records(OnceOnlyAction.Dispatch.class);
    }

    private long records(Class<? extends OnceOnlyAction> type) {
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
