package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

/** Queries with shards that are delegated to other hosts, on the delegating and on the delegated side. */
final class StagedQueryTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SILENCE_TIMEOUT = 60 * MILLI;

    private final RoutedRequestHarness harness = new RoutedRequestHarness();

    @Test
    void theReplyOfAnotherHostIsMergedWithThePartsOfThisOne() {
        ScatterQuery query = query(4, 0, 2, 3);
        harness.execute(query.start(0), 0);
        assertThat(harness.attempts).hasSize(2);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.answer(query, harness.attempts.get(1), "sig1", MILLI);
        harness.execute(query.onStageReply(harness.stages.get(0), reply(2, 3), 2 * MILLI), 2 * MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "stage2", "stage3");
    }

    @Test
    void aSilentHostIsBackedUpAndItsLateReplyCannotCountTwice() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.answer(query, harness.attempts.get(1), "sig1", MILLI);
        harness.execute(query.wake(SILENCE_TIMEOUT), SILENCE_TIMEOUT);
        assertThat(harness.attempts).hasSize(4);
        harness.answer(query, harness.attempts.get(2), "own2", SILENCE_TIMEOUT + MILLI);
        harness.execute(
                query.onStageReply(harness.stages.get(0), reply(2, 3), SILENCE_TIMEOUT + 2 * MILLI),
                SILENCE_TIMEOUT + 2 * MILLI);
        harness.answer(query, harness.attempts.get(3), "own3", SILENCE_TIMEOUT + 3 * MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "own2", "own3");
    }

    @Test
    void aSilentHostIsAwaitedIfThereIsNoBudgetForABackup() {
        ScatterQuery query = query(4, 0, 2, 3);
        harness.execute(query.start(0), 0);
        harness.exhaustBudgets();
        harness.execute(query.wake(SILENCE_TIMEOUT), SILENCE_TIMEOUT);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.outcomeCount()).isEqualTo(0);
        harness.execute(
                query.onStageReply(harness.stages.get(0), reply(2, 3), SILENCE_TIMEOUT + MILLI),
                SILENCE_TIMEOUT + MILLI);
        harness.answer(query, harness.attempts.get(0), "sig0", SILENCE_TIMEOUT + MILLI);
        harness.answer(query, harness.attempts.get(1), "sig1", SILENCE_TIMEOUT + MILLI);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(0);
    }

    @Test
    void aHostThatReportsProgressIsNotBackedUp() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        query.onStageProgress(harness.stages.get(0), List.of(2));
        harness.execute(query.wake(SILENCE_TIMEOUT), SILENCE_TIMEOUT);
        assertThat(harness.attempts.stream()
                        .filter(attempt -> attempt.purpose() == Attempt.Purpose.RETRY)
                        .count())
                .isEqualTo(0);
    }

    @Test
    void moreAttemptsOnTwoHostsThanPermittedAreReported() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        harness.execute(query.wake(SILENCE_TIMEOUT), SILENCE_TIMEOUT);
        List<RoutedAction> actions = query.onStageProgress(harness.stages.get(0), List.of(3));
        assertThat(actions)
                .containsExactly(
                        new RoutedAction.Count(AttemptCounter.ATTEMPTS_EXCEEDED),
                        new RoutedAction.ReportExceeded(harness.stages.get(0), ImmutableList.of(3)));
    }

    @Test
    void afterAFailedStageOnlyUnusedAttemptsRemain() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        query.onStageProgress(harness.stages.get(0), List.of(2));
        harness.execute(query.onStageFailure(harness.stages.get(0), false, MILLI), MILLI);
        assertThat(harness.attempts).hasSize(3);
        assertThat(harness.attempts.get(2).leaf().service()).isEqualTo("s3");
    }

    @Test
    void aStageThatDidNotRunUsesNoAttempt() {
        ScatterQuery query = query(4, 0, 2, 3);
        harness.execute(query.start(0), 0);
        harness.execute(query.onStageFailure(harness.stages.get(0), true, MILLI), MILLI);
        assertThat(harness.attempts).hasSize(4);
    }

    @Test
    void aStageIsAbandonedWhenTheCallerDisconnects() {
        ScatterQuery query = query(4, 0, 2, 3);
        harness.execute(query.start(0), 0);
        List<RoutedAction> actions = query.callerGone();
        assertThat(actions).contains(new RoutedAction.AbandonStage(harness.stages.get(0)));
    }

    @Test
    void aStageUnfinishedAtTheGoalIsAbandoned() {
        ScatterQuery query = query(4, 0, 2, 3);
        harness.execute(query.start(0), 0);
        harness.answerAll(query, MILLI);
        query.onStageProgress(harness.stages.get(0), List.of());
        List<RoutedAction> actions = query.wake(RoutedRequestHarness.GOAL_NANOS);
        assertThat(actions).contains(new RoutedAction.AbandonStage(harness.stages.get(0)));
        harness.execute(actions, RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.delivered).hasSize(1);
    }

    @Test
    void aQueryOnBehalfOfAnotherHostForwardsLateParts() {
        for (int shard = 0; shard < 3; shard++) {
            harness.addService("s" + shard, 2, 0);
        }
        ScatterQuery query = new ScatterQuery(
                harness.target(0),
                harness.pools(),
                ImmutableList.of(),
                RoutedRequestHarness.bounds(1),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        assertThat(harness.partials).isEmpty();
        harness.execute(query.wake(RoutedRequestHarness.GOAL_NANOS), RoutedRequestHarness.GOAL_NANOS);
        assertThat(harness.partials.get(0).signatures()).containsExactly("sig0");
        harness.answer(query, harness.attempts.get(1), "sig1", RoutedRequestHarness.GOAL_NANOS + MILLI);
        assertThat(harness.partials.get(1).signatures()).containsExactly("sig1");
        assertThat(harness.delivered).isEmpty();
        harness.answer(query, harness.attempts.get(2), "sig2", RoutedRequestHarness.GOAL_NANOS + 2 * MILLI);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig2");
        assertThat(harness.abandoned).isEmpty();
    }

    @Test
    void aQueryOnBehalfOfAnotherHostMakesNoAttemptAfterItsGoal() {
        for (int shard = 0; shard < 2; shard++) {
            harness.addService("s" + shard, 2, 10);
        }
        ScatterQuery query = new ScatterQuery(
                harness.target(0),
                harness.pools(),
                ImmutableList.of(),
                RoutedRequestHarness.bounds(2),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
        harness.execute(query.start(0), 0);
        long late = RoutedRequestHarness.GOAL_NANOS + MILLI;
        harness.execute(query.wake(late), late);
        harness.fail(query, harness.attempts.get(0), LeafOutcome.BROKEN, late + MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.BROKEN, late + 2 * MILLI);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.refused).hasSize(1);
    }

    @Test
    void aPartialStageResultCompletesAQueryAtTheGoalWithoutAnAttempt() {
        ScatterQuery query = query(4, 0, 1, 2, 3);
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        long goal = RoutedRequestHarness.GOAL_NANOS;
        harness.execute(query.onStagePartial(harness.stages.get(0), reply(1), goal), goal);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("sig0", "stage1");
    }

    @Test
    void partialResultsOfAStageAreMergedWithItsLastReply() {
        ScatterQuery query = query(4, 0, 1, 2, 3);
        harness.execute(query.start(0), 0);
        harness.execute(query.onStagePartial(harness.stages.get(0), reply(1), MILLI), MILLI);
        harness.execute(query.onStageReply(harness.stages.get(0), reply(2, 3), 2 * MILLI), 2 * MILLI);
        harness.answer(query, harness.attempts.get(0), "sig0", 3 * MILLI);
        assertThat(harness.attempts).hasSize(1);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(0);
        assertThat(harness.delivered.get(0).signatures()).containsExactly("stage1", "stage2", "stage3", "sig0");
    }

    @Test
    void aSilentStageIsSuspectedBeforeItsShardsAreRetried() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        List<RoutedAction> actions = query.wake(SILENCE_TIMEOUT);
        int suspected = actions.indexOf(new RoutedAction.SuspectStage(harness.stages.get(0)));
        assertThat(suspected).isAtLeast(0);
        assertThat(actions.subList(0, suspected).stream().filter(action -> action instanceof RoutedAction.CallLeaf))
                .isEmpty();
    }

    @Test
    void aDelegateIsHandedAnAttemptOnRequestWhileOneIsLeft() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        StageAttempt stage = harness.stages.get(0);
        assertThat(query.onAttemptsRequested(stage, List.of(2), MILLI))
                .contains(new RoutedAction.AnswerAttemptRequest(stage, ImmutableList.of(2), ImmutableList.of()));
        assertThat(query.onAttemptsRequested(stage, List.of(2, 3), 2 * MILLI))
                .contains(new RoutedAction.AnswerAttemptRequest(stage, ImmutableList.of(3), ImmutableList.of(2)));
    }

    /** Guards against a backup attempt beside the two attempts of a delegate. */
    @Test
    void anAttemptThatWasHandedOverIsNotMadeHere() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        query.onAttemptsRequested(harness.stages.get(0), List.of(2), MILLI);
        harness.execute(query.onStageFailure(harness.stages.get(0), false, 2 * MILLI), 2 * MILLI);
        assertThat(harness.attempts).hasSize(3);
        assertThat(harness.attempts.get(2).leaf().service()).isEqualTo("s3");
    }

    @Test
    void anAttemptThatWasGivenBackIsMadeHere() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        query.onAttemptsRequested(harness.stages.get(0), List.of(2, 3), MILLI);
        StageReply reply = new StageReply(
                ImmutableList.of(3),
                ImmutableList.of("stage3"),
                ImmutableList.of(),
                ImmutableList.of(2),
                ByteString.EMPTY);
        harness.execute(query.onStageReply(harness.stages.get(0), reply, 2 * MILLI), 2 * MILLI);
        assertThat(harness.attempts).hasSize(3);
        assertThat(harness.attempts.get(2).leaf().service()).isEqualTo("s2");
    }

    @Test
    void aDelegateHedgesOnlyWithAnAttemptThatWasHandedOver() {
        ScatterQuery query = delegatedQuery();
        harness.execute(query.start(0), 0);
        long late = RoutedRequestHarness.HEDGE_DELAY_NANOS;
        List<RoutedAction> actions = query.wake(late);
        harness.execute(actions, late);
        assertThat(actions).contains(new RoutedAction.RequestAttempts(ImmutableList.of(0, 1)));
        assertThat(harness.attempts).hasSize(2);
        harness.execute(query.onAttemptsAnswered(List.of(0), List.of(1), late + MILLI), late + MILLI);
        assertThat(harness.attempts).hasSize(3);
        assertThat(harness.attempts.get(2).purpose()).isEqualTo(Attempt.Purpose.HEDGE);
        assertThat(harness.attempts.get(2).leaf().service()).isEqualTo("s0");
    }

    @Test
    void aDelegateWithoutAnAttemptForARetryReportsTheShardAsFailed() {
        ScatterQuery query = delegatedQuery();
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.FAILED, 2 * MILLI);
        assertThat(harness.outcomeCount()).isEqualTo(0);
        harness.execute(query.onAttemptsAnswered(List.of(), List.of(1), 3 * MILLI), 3 * MILLI);
        assertThat(harness.attempts).hasSize(2);
        assertThat(harness.delivered.get(0).missing()).isEqualTo(1);
        assertThat(harness.delivered.get(0).unusedAttempts()).isEmpty();
    }

    @Test
    void aDelegateGivesBackAnAttemptThatItDoesNotUse() {
        ScatterQuery query = delegatedQuery();
        harness.execute(query.start(0), 0);
        harness.answer(query, harness.attempts.get(0), "sig0", MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.FAILED, 2 * MILLI);
        harness.exhaustBudgets();
        harness.execute(query.onAttemptsAnswered(List.of(1), List.of(), 3 * MILLI), 3 * MILLI);
        assertThat(harness.delivered.get(0).unusedAttempts()).containsExactly(1);
    }

    /** Guards against a leaf's refusal at another host making the next attempt free of charge. */
    @Test
    void anAttemptAfterARefusalAtAnotherHostIsChargedToTheBudget() {
        ScatterQuery query = query(4, 10, 2, 3);
        harness.execute(query.start(0), 0);
        harness.exhaustBudgets();
        StageReply reply = new StageReply(
                ImmutableList.of(3),
                ImmutableList.of("stage3"),
                ImmutableList.of(),
                ImmutableList.of(2),
                ByteString.EMPTY);
        harness.execute(query.onStageReply(harness.stages.get(0), reply, 2 * MILLI), 2 * MILLI);
        assertThat(harness.attempts).hasSize(2);
    }

    /** Guards against a delegate whose attempts all were refused reporting the query as not sent. */
    @Test
    void aDelegateWhoseLeavesAllRefusedReportsTheShardsAsSent() {
        ScatterQuery query = delegatedQuery();
        harness.execute(query.start(0), 0);
        harness.exhaustBudgets();
        harness.fail(query, harness.attempts.get(0), LeafOutcome.REFUSED_BUSY, MILLI);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.REFUSED_BUSY, MILLI);
        assertThat(harness.delivered).hasSize(1);
        assertThat(harness.delivered.get(0).notSent()).isEmpty();
        assertThat(harness.delivered.get(0).unusedAttempts()).containsExactly(0, 1);
    }

    /** Guards against a delegate's refused attempt using up the attempt that it was handed. */
    @Test
    void aRefusedAttemptIsRetriedWithoutARequest() {
        ScatterQuery query = delegatedQuery();
        harness.execute(query.start(0), 0);
        harness.fail(query, harness.attempts.get(1), LeafOutcome.REFUSED_BUSY, MILLI);
        assertThat(harness.attempts).hasSize(3);
        assertThat(query.hedgedShards()).isEmpty();
    }

    /** Returns a query that was handed one attempt at each of two shards; the calling host keeps another. */
    private ScatterQuery delegatedQuery() {
        for (int shard = 0; shard < 2; shard++) {
            harness.addService("s" + shard, 2, 10);
        }
        RequestBounds bounds = new RequestBounds(
                RoutedRequestHarness.GOAL_NANOS,
                RoutedRequestHarness.DEADLINE_NANOS,
                RoutedRequestHarness.HEDGE_DELAY_NANOS,
                RoutedRequestHarness.EXPECTED_NANOS,
                1,
                1);
        return new ScatterQuery(
                harness.target(0),
                harness.pools(),
                ImmutableList.of(),
                bounds,
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
    }

    private ScatterQuery query(int shards, int budget, Integer... delegated) {
        for (int shard = 0; shard < shards; shard++) {
            harness.addService("s" + shard, 2, budget);
        }
        StageAttempt stage = new StageAttempt("host", ImmutableList.copyOf(delegated), SILENCE_TIMEOUT);
        return new ScatterQuery(
                harness.target(0.5),
                harness.pools(),
                ImmutableList.of(stage),
                RoutedRequestHarness.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedRequestHarness.random());
    }

    private static StageReply reply(Integer... shards) {
        ImmutableList<Integer> numbers = ImmutableList.copyOf(shards);
        return new StageReply(
                numbers,
                numbers.stream().map(number -> "stage" + number).collect(ImmutableList.toImmutableList()),
                ByteString.EMPTY);
    }
}
