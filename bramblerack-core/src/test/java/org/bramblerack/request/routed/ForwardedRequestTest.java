package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import org.bramblerack.process.leaf.LeafOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ForwardedRequestTest {
    private final RoutedWorld world = new RoutedWorld();

    @Test
    void theAnswerOfTheLeafIsPassedOn() {
        ForwardedRequest request = request(2, true, 0);
        world.end(world.asked.get(0), LeafOutcome.SUCCEEDED, 1);
        world.carryOut(request.onAnswer(world.asked.get(0)), 1);
        assertThat(world.passed).containsExactly(world.asked.get(0));
    }

    @ParameterizedTest
    @EnumSource(
            value = LeafOutcome.class,
            names = {"FAILED", "BROKEN", "GARBLED"})
    void aRequestThatMayHaveRunIsNotSentAgainIfItMustNotRunTwice(LeafOutcome outcome) {
        ForwardedRequest request = request(3, false, 10);
        fail(request, 0, outcome, outcome == LeafOutcome.FAILED);
        assertThat(world.asked).hasSize(1);
        assertThat(world.answers()).isEqualTo(1);
        world.refused.forEach(reason -> assertThat(reason.isNotRun()).isFalse());
    }

    @ParameterizedTest
    @EnumSource(
            value = LeafOutcome.class,
            names = {"REFUSED_BUSY", "REFUSED_GONE", "UNREACHABLE", "NO_CONNECTION"})
    void aRequestThatHasNotRunIsSentToAnotherLeaf(LeafOutcome outcome) {
        ForwardedRequest request = request(3, false, 10);
        fail(request, 0, outcome, false);
        assertThat(world.asked).hasSize(2);
        assertThat(world.asked.get(1).leaf()).isNotEqualTo(world.asked.get(0).leaf());
    }

    @Test
    void aRequestThatMustNotRunTwiceIsNeverHedged() {
        ForwardedRequest request = request(3, false, 10);
        world.carryOut(request.wake(RoutedWorld.HEDGE_NANOS * 5), RoutedWorld.HEDGE_NANOS * 5);
        assertThat(world.asked).hasSize(1);
    }

    @Test
    void aRepeatableRequestIsHedgedOnceItIsLate() {
        ForwardedRequest request = request(3, true, 10);
        world.carryOut(request.wake(RoutedWorld.HEDGE_NANOS), RoutedWorld.HEDGE_NANOS);
        assertThat(world.asked).hasSize(2);
    }

    @Test
    void afterAnUnknownOutcomeARefusalNeverSaysThatItHasNotRun() {
        ForwardedRequest request = request(1, false, 10);
        fail(request, 0, LeafOutcome.BROKEN, false);
        assertThat(world.refused).containsExactly(RefusalReason.OUTCOME_UNKNOWN);
    }

    @Test
    void atTheDeadlineARequestUnderWayMayHaveRun() {
        ForwardedRequest request = request(1, false, 0);
        world.carryOut(request.wake(RoutedWorld.DEADLINE_NANOS), RoutedWorld.DEADLINE_NANOS);
        assertThat(world.refused).containsExactly(RefusalReason.TIME_UP);
        assertThat(RefusalReason.TIME_UP.isNotRun()).isFalse();
    }

    @Test
    void leafsThatAllRefuseMakeARefusalThatSaysItHasNotRun() {
        ForwardedRequest request = request(2, false, 10);
        for (int attempt = 0; attempt < world.asked.size() && world.answers() == 0; attempt++) {
            fail(request, attempt, LeafOutcome.REFUSED_BUSY, false);
            world.carryOut(request.wake(RoutedWorld.HEDGE_NANOS * 10), RoutedWorld.HEDGE_NANOS * 10);
        }
        assertThat(world.refused).containsExactly(RefusalReason.ALL_BUSY);
    }

    @Test
    void theFailureOfALeafIsPassedOnIfNoOtherMayBeAsked() {
        ForwardedRequest request = request(1, false, 10);
        fail(request, 0, LeafOutcome.FAILED, true);
        assertThat(world.passed).containsExactly(world.asked.get(0));
    }

    @Test
    void withoutLeafsTheRefusalSaysThatItHasNotRun() {
        request(0, false, 0);
        assertThat(world.refused).containsExactly(RefusalReason.NO_LEAF);
    }

    private ForwardedRequest request(int leafs, boolean repeatable, int budget) {
        world.service("s", leafs, budget);
        ForwardedRequest request =
                new ForwardedRequest(world.pools().get(0), repeatable, RoutedWorld.bounds(2), RoutedWorld.random());
        world.carryOut(request.start(0), 0);
        return request;
    }

    private void fail(ForwardedRequest request, int attempt, LeafOutcome outcome, boolean hasAnswer) {
        Attempt failed = world.asked.get(attempt);
        world.end(failed, outcome, 1);
        world.carryOut(request.onFailure(failed, outcome, hasAnswer, 1), 1);
    }
}
