package org.bramblerack.request.routed;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingContext;
import org.junit.jupiter.api.Test;

/** Queries of which other hosts ask a part, on both sides. */
final class StagedQueryTest {
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long STAGE_SILENCE = 60 * MILLI;

    private final RoutedWorld world = new RoutedWorld();

    @Test
    void theReplyOfAnotherHostIsMergedWithThePartsOfThisOne() {
        ScatterQuery query = staged(4, 0, 2, 3);
        world.carryOut(query.start(0), 0);
        assertThat(world.asked).hasSize(2);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        world.answer(query, world.asked.get(1), "sig1", MILLI);
        world.carryOut(query.onStageReply(world.stages.get(0), reply(2, 3), 2 * MILLI), 2 * MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "stage2", "stage3");
    }

    @Test
    void aSilentHostIsBackedUpAndItsLateReplyCannotCountTwice() {
        ScatterQuery query = staged(4, 10, 2, 3);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        world.answer(query, world.asked.get(1), "sig1", MILLI);
        world.carryOut(query.wake(STAGE_SILENCE), STAGE_SILENCE);
        assertThat(world.asked).hasSize(4);
        world.answer(query, world.asked.get(2), "own2", STAGE_SILENCE + MILLI);
        world.carryOut(
                query.onStageReply(world.stages.get(0), reply(2, 3), STAGE_SILENCE + 2 * MILLI),
                STAGE_SILENCE + 2 * MILLI);
        world.answer(query, world.asked.get(3), "own3", STAGE_SILENCE + 3 * MILLI);
        assertThat(world.delivered).hasSize(1);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig0", "sig1", "own2", "own3");
    }

    @Test
    void aSilentHostIsWaitedForIfThereIsNoBudgetToBackItUp() {
        ScatterQuery query = staged(4, 0, 2, 3);
        world.carryOut(query.start(0), 0);
        world.spendDeposits();
        world.carryOut(query.wake(STAGE_SILENCE), STAGE_SILENCE);
        assertThat(world.asked).hasSize(2);
        assertThat(world.answers()).isEqualTo(0);
        world.carryOut(
                query.onStageReply(world.stages.get(0), reply(2, 3), STAGE_SILENCE + MILLI), STAGE_SILENCE + MILLI);
        world.answer(query, world.asked.get(0), "sig0", STAGE_SILENCE + MILLI);
        world.answer(query, world.asked.get(1), "sig1", STAGE_SILENCE + MILLI);
        assertThat(world.delivered.get(0).missing()).isEqualTo(0);
    }

    @Test
    void aHostThatSaysItIsAtWorkIsNotBackedUp() {
        ScatterQuery query = staged(4, 10, 2, 3);
        world.carryOut(query.start(0), 0);
        query.onStageProgress(world.stages.get(0), List.of(2));
        world.carryOut(query.wake(STAGE_SILENCE), STAGE_SILENCE);
        assertThat(world.asked.stream()
                        .filter(attempt -> attempt.purpose() == Attempt.Purpose.RETRY)
                        .count())
                .isEqualTo(0);
    }

    @Test
    void aFailedHostLeavesOnlyTheAttemptsThatItDidNotUse() {
        ScatterQuery query = staged(4, 10, 2, 3);
        world.carryOut(query.start(0), 0);
        query.onStageProgress(world.stages.get(0), List.of(2));
        world.carryOut(query.onStageFailure(world.stages.get(0), false, MILLI), MILLI);
        assertThat(world.asked).hasSize(3);
        assertThat(world.asked.get(2).leaf().service()).isEqualTo("s3");
    }

    @Test
    void aHostThatDidNotRunItLeavesEveryAttempt() {
        ScatterQuery query = staged(4, 0, 2, 3);
        world.carryOut(query.start(0), 0);
        world.carryOut(query.onStageFailure(world.stages.get(0), true, MILLI), MILLI);
        assertThat(world.asked).hasSize(4);
    }

    @Test
    void aStageThatNobodyWaitsForIsGivenUp() {
        ScatterQuery query = staged(4, 0, 2, 3);
        world.carryOut(query.start(0), 0);
        List<RoutedAction> actions = query.callerGone();
        assertThat(actions).contains(new RoutedAction.AbandonStage(world.stages.get(0)));
    }

    @Test
    void aStageThatIsLateAtTheGoalIsGivenUpWithTheAnswer() {
        ScatterQuery query = staged(4, 0, 2, 3);
        world.carryOut(query.start(0), 0);
        world.answerAll(query, MILLI);
        query.onStageProgress(world.stages.get(0), List.of());
        List<RoutedAction> actions = query.wake(RoutedWorld.GOAL_NANOS);
        assertThat(actions).contains(new RoutedAction.AbandonStage(world.stages.get(0)));
        world.carryOut(actions, RoutedWorld.GOAL_NANOS);
        assertThat(world.delivered).hasSize(1);
    }

    @Test
    void aQueryOnBehalfOfAnotherHostSendsLatePartsOn() {
        for (int shard = 0; shard < 3; shard++) {
            world.service("s" + shard, 2, 0);
        }
        ScatterQuery query = new ScatterQuery(
                world.target(0),
                world.pools(),
                ImmutableList.of(),
                RoutedWorld.bounds(1),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        assertThat(world.pieces).isEmpty();
        world.carryOut(query.wake(RoutedWorld.GOAL_NANOS), RoutedWorld.GOAL_NANOS);
        assertThat(world.pieces.get(0).signatures()).containsExactly("sig0");
        world.answer(query, world.asked.get(1), "sig1", RoutedWorld.GOAL_NANOS + MILLI);
        assertThat(world.pieces.get(1).signatures()).containsExactly("sig1");
        assertThat(world.delivered).isEmpty();
        world.answer(query, world.asked.get(2), "sig2", RoutedWorld.GOAL_NANOS + 2 * MILLI);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig2");
        assertThat(world.givenUp).isEmpty();
    }

    @Test
    void aQueryOnBehalfOfAnotherHostMakesNoAttemptAfterItsGoal() {
        for (int shard = 0; shard < 2; shard++) {
            world.service("s" + shard, 2, 10);
        }
        ScatterQuery query = new ScatterQuery(
                world.target(0),
                world.pools(),
                ImmutableList.of(),
                RoutedWorld.bounds(2),
                ScatterQuery.Delivery.INCREMENTAL,
                RoutingContext.plain(),
                RoutedWorld.random());
        world.carryOut(query.start(0), 0);
        long late = RoutedWorld.GOAL_NANOS + MILLI;
        world.carryOut(query.wake(late), late);
        world.fail(query, world.asked.get(0), LeafOutcome.BROKEN, late + MILLI);
        world.fail(query, world.asked.get(1), LeafOutcome.BROKEN, late + 2 * MILLI);
        assertThat(world.asked).hasSize(2);
        assertThat(world.refused).hasSize(1);
    }

    @Test
    void aQueryThatLacksShardsAtTheGoalTakesThemFromTheStageWithoutSpendingAnAttempt() {
        ScatterQuery query = staged(4, 0, 1, 2, 3);
        world.carryOut(query.start(0), 0);
        world.answer(query, world.asked.get(0), "sig0", MILLI);
        long goal = RoutedWorld.GOAL_NANOS;
        world.carryOut(query.onStagePartial(world.stages.get(0), reply(1), goal), goal);
        assertThat(world.delivered.get(0).signatures()).containsExactly("sig0", "stage1");
    }

    @Test
    void piecesOfAStageAreMergedWithItsLastReply() {
        ScatterQuery query = staged(4, 0, 1, 2, 3);
        world.carryOut(query.start(0), 0);
        world.carryOut(query.onStagePartial(world.stages.get(0), reply(1), MILLI), MILLI);
        world.carryOut(query.onStageReply(world.stages.get(0), reply(2, 3), 2 * MILLI), 2 * MILLI);
        world.answer(query, world.asked.get(0), "sig0", 3 * MILLI);
        assertThat(world.asked).hasSize(1);
        assertThat(world.delivered.get(0).missing()).isEqualTo(0);
        assertThat(world.delivered.get(0).signatures()).containsExactly("stage1", "stage2", "stage3", "sig0");
    }

    @Test
    void aSilentStageIsSuspectedBeforeItsShardsAreAskedAgain() {
        ScatterQuery query = staged(4, 10, 2, 3);
        world.carryOut(query.start(0), 0);
        List<RoutedAction> actions = query.wake(STAGE_SILENCE);
        int suspected = actions.indexOf(new RoutedAction.SuspectStage(world.stages.get(0)));
        assertThat(suspected).isAtLeast(0);
        assertThat(actions.subList(0, suspected).stream().filter(action -> action instanceof RoutedAction.CallLeaf))
                .isEmpty();
    }

    private ScatterQuery staged(int shards, int budget, Integer... far) {
        for (int shard = 0; shard < shards; shard++) {
            world.service("s" + shard, 2, budget);
        }
        StageAttempt stage = new StageAttempt("host", ImmutableList.copyOf(far), STAGE_SILENCE);
        return new ScatterQuery(
                world.target(0.5),
                world.pools(),
                ImmutableList.of(stage),
                RoutedWorld.bounds(2),
                ScatterQuery.Delivery.SINGLE,
                RoutingContext.plain(),
                RoutedWorld.random());
    }

    private static StageReply reply(Integer... shards) {
        ImmutableList<Integer> numbers = ImmutableList.copyOf(shards);
        return new StageReply(
                numbers,
                numbers.stream().map(number -> "stage" + number).collect(ImmutableList.toImmutableList()),
                ByteString.EMPTY);
    }
}
