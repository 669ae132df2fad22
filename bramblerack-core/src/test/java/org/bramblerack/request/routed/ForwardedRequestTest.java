package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.process.leaf.LeafOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ForwardedRequestTest {
    private final RoutedRequestHarness harness = new RoutedRequestHarness();

    @Test
    void theLeafsAnswerIsDelivered() {
        ForwardedRequest request = request(2, true, 0);
        harness.end(harness.attempts.get(0), LeafOutcome.SUCCEEDED, 1);
        harness.execute(request.onAnswer(harness.attempts.get(0)), 1);
        assertThat(harness.deliveredAnswers).containsExactly(harness.attempts.get(0));
    }

    @ParameterizedTest
    @EnumSource(
            value = LeafOutcome.class,
            names = {"FAILED", "BROKEN", "GARBLED"})
    void aRequestThatMayHaveRunIsNotSentAgainIfItMustNotRunTwice(LeafOutcome outcome) {
        ForwardedRequest request = request(3, false, 10);
        fail(request, 0, outcome, outcome == LeafOutcome.FAILED);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.outcomeCount()).isEqualTo(1);
        harness.refused.forEach(reason -> assertThat(reason.isNotRun()).isFalse());
    }

    @ParameterizedTest
    @EnumSource(
            value = LeafOutcome.class,
            names = {"REFUSED_BUSY", "REFUSED_GONE", "UNREACHABLE", "NO_CONNECTION"})
    void aRequestThatHasNotRunIsSentToAnotherLeaf(LeafOutcome outcome) {
        ForwardedRequest request = request(3, false, 10);
        fail(request, 0, outcome, false);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.attempts.get(1).leaf())
                .isNotEqualTo(harness.attempts.get(0).leaf());
    }

    @Test
    void aRequestThatMustNotRunTwiceIsNeverHedged() {
        ForwardedRequest request = request(3, false, 10);
        harness.execute(
                request.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS * 5), RoutedRequestHarness.HEDGE_DELAY_NANOS * 5);
        assertThat(harness.attempts).hasSize(1);
    }

    @Test
    void aRepeatableRequestIsHedgedOnceItIsLate() {
        ForwardedRequest request = request(3, true, 10);
        harness.execute(request.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS), RoutedRequestHarness.HEDGE_DELAY_NANOS);
        assertThat(harness.attempts).hasSize(2);
    }

    @Test
    void anUnknownOutcomeIsNotReportedAsNotRun() {
        ForwardedRequest request = request(1, false, 10);
        fail(request, 0, LeafOutcome.BROKEN, false);
        assertThat(harness.refused).containsExactly(RefusalReason.OUTCOME_UNKNOWN);
    }

    @Test
    void atTheDeadlineARequestInFlightMayHaveRun() {
        ForwardedRequest request = request(1, false, 0);
        harness.execute(request.wake(RoutedRequestHarness.DEADLINE_NANOS), RoutedRequestHarness.DEADLINE_NANOS);
        assertThat(harness.refused).containsExactly(RefusalReason.TIME_UP);
        assertThat(RefusalReason.TIME_UP.isNotRun()).isFalse();
    }

    @Test
    void ifAllLeavesRefuseTheRefusalSaysNotRun() {
        ForwardedRequest request = request(2, false, 10);
        for (int attempt = 0; attempt < harness.attempts.size() && harness.outcomeCount() == 0; attempt++) {
            fail(request, attempt, LeafOutcome.REFUSED_BUSY, false);
            harness.execute(
                    request.wake(RoutedRequestHarness.HEDGE_DELAY_NANOS * 10),
                    RoutedRequestHarness.HEDGE_DELAY_NANOS * 10);
        }
        assertThat(harness.refused).containsExactly(RefusalReason.ALL_BUSY);
    }

    @Test
    void theLeafsFailureIsDeliveredIfNoRetryIsPermitted() {
        ForwardedRequest request = request(1, false, 10);
        fail(request, 0, LeafOutcome.FAILED, true);
        assertThat(harness.deliveredAnswers).containsExactly(harness.attempts.get(0));
    }

    @Test
    void withoutLeavesTheRefusalSaysNotRun() {
        request(0, false, 0);
        assertThat(harness.refused).containsExactly(RefusalReason.NO_LEAF);
    }

    private ForwardedRequest request(int leafCount, boolean repeatable, int budget) {
        harness.addService("s", leafCount, budget);
        ForwardedRequest request = new ForwardedRequest(
                harness.pools().get(0), repeatable, RoutedRequestHarness.bounds(2), RoutedRequestHarness.random());
        harness.execute(request.start(0), 0);
        return request;
    }

    private void fail(ForwardedRequest request, int attempt, LeafOutcome outcome, boolean hasAnswer) {
        Attempt failed = harness.attempts.get(attempt);
        harness.end(failed, outcome, 1);
        harness.execute(request.onFailure(failed, outcome, hasAnswer, 1), 1);
    }
}
