package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.version.routing.RouteTarget;

/**
 * The decisions of one query over the shards of one configuration version: whom to ask, when to ask again, and when to
 * seal the answer.
 *
 * <p>An answer is worth the square of the share of its shards, and almost nothing after its goal. So the query waits
 * for every shard until the goal; at the goal it delivers what is in if that is enough, and after it as soon as it is.
 * It is over early when every shard has answered or has no hope left, or when too many have none.
 *
 * <p>Shards whose leafs are far may be left to another host near them, which asks them, hedges, and sends the merged
 * rest back. If it is silent for longer than its work takes, the query asks those shards itself, with the attempts that
 * are left; whichever comes first counts.
 *
 * <p>Invariants: every part comes from the shards that the query was created with, at most one of each, and no
 * signature appears twice. Exactly one {@link RoutedAction.DeliverMerged} or {@link RoutedAction.Refuse} is returned,
 * unless the caller goes away first. Not safe for use by several threads.
 */
public final class ScatterQuery {
    /** If more shards than this, and than a part of all, are late at once, the service as a whole is slow. */
    private static final int LEAST_LATE_TO_SUSPECT = 4;

    private static final int SLOW_SERVICE_DIVISOR = 3;

    /** A host that is behind by more than this part of the hedge delay cannot tell a late answer from an unread one. */
    private static final int LAG_DIVISOR = 2;
    /**
     * The least time between two looks at all shards for what is overdue: each leaf has a moment of its own, and what a
     * hedge waits until the next look is little beside what it saves.
     */
    private static final long BETWEEN_LOOKS_NANOS = Duration.ofMillis(3).toNanos();

    private final RouteTarget.Scatter target;
    private final RequestBounds bounds;
    private final QueryShards shards;
    private final QueryStages stages;
    private final GatheredParts parts;
    private final Delivery delivery;
    private final RoutingContext context;
    private final BreakProbe breaks = new BreakProbe();
    private boolean over;
    private boolean lookedAfterGoal;
    private boolean sealedByClock;
    private long startedNanos;
    private long lastLookNanos;
    private long armedWakeNanos;
    private boolean wakeArmed;

    /** What becomes of the parts that are in at the goal. */
    public enum Delivery {
        /** They are the answer, if they are enough; one answer is given. */
        SINGLE,
        /**
         * They are sent on, however few, and later ones follow as they come, since only the host that asked for them
         * knows whether they are enough.
         */
        INCREMENTAL
    }

    /**
     * Creates a query; nothing is asked before {@link #start}.
     *
     * @param pools the leafs of each shard, in the order of the shards
     * @param stages the shards that are left to other hosts, each to one at most
     * @param context what the routing decisions of this host share
     */
    public ScatterQuery(
            RouteTarget.Scatter target,
            ImmutableList<PermittedLeaves> pools,
            ImmutableList<StageAttempt> stages,
            RequestBounds bounds,
            Delivery delivery,
            RoutingContext context,
            RandomGenerator random) {
        this.target = target;
        this.stages = new QueryStages(stages);
        this.bounds = bounds;
        this.delivery = delivery;
        this.context = context;
        this.parts = new GatheredParts(target.topRecords(), pools.size());
        this.shards = new QueryShards(pools, bounds, context.uses(RoutingFeature.HEDGES), random);
    }

    /** Begins: one attempt on every shard, here or by another host. */
    public List<RoutedAction> start(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2 * shards.count() + 1);
        startedNanos = nowNanos;
        lastLookNanos = nowNanos - BETWEEN_LOOKS_NANOS;
        for (StageAttempt stage : stages.all()) {
            stage.shards().forEach(shard -> shards.get(shard).delegate());
        }
        stages.ask(actions);
        for (ShardRequest shard : shards) {
            if (!shard.isDelegated()) {
                shard.start(nowNanos, actions);
            }
        }
        decide(nowNanos, actions);
        return actions;
    }

    /** Takes a whole, signed answer of a leaf. */
    public List<RoutedAction> onAnswer(Attempt attempt, PartReply reply, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        ShardRequest shard = attempt.shard();
        if (over || shard.isFinished()) {
            attempt.finish(Attempt.State.ANSWERED);
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        if (!parts.add(shards.numberOf(shard), reply)) {
            return onFailure(attempt, LeafOutcome.GARBLED, nowNanos);
        }
        shard.answered(attempt, actions);
        if (breaks.isInDoubt()) {
            breaks.survived();
            decide(nowNanos, actions);
            return actions;
        }
        breaks.survived();
        decideAfterAnswer(nowNanos, actions);
        return actions;
    }

    /** Takes the failure of an attempt. */
    public List<RoutedAction> onFailure(Attempt attempt, LeafOutcome outcome, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        closeAtGoal(nowNanos, actions);
        if (outcome.showsSurvival()) {
            breaks.survived();
        }
        attempt.shard().failed(attempt, outcome, breaks::mayAskAgain, nowNanos, actions);
        if (!over) {
            decide(nowNanos, actions);
        }
        return actions;
    }

    /** Takes what another host gathered so far; more may follow. */
    public List<RoutedAction> onStagePartial(StageAttempt stage, StageReply piece, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (over || stage.isOver()) {
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        stage.hear();
        take(stage, piece);
        decide(nowNanos, actions);
        return actions;
    }

    /** Takes the last of what another host gathered; shards that it lacks are asked here if attempts are left. */
    public List<RoutedAction> onStageReply(StageAttempt stage, StageReply reply, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (over || stage.isOver()) {
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        stage.finish();
        take(stage, reply);
        reply.notSent().stream()
                .filter(shard -> stage.shards().contains(shard))
                .forEach(shard -> shards.get(shard).takeBack(true, breaks::mayAskAgain, nowNanos, actions));
        boolean inTime = nowNanos + bounds.expectedNanos() - bounds.goalNanos() < 0;
        if (inTime || !isEnough()) {
            takeBack(stage, false, nowNanos, actions);
        } else {
            stage.shards().forEach(shard -> shards.get(shard).finish(actions));
        }
        decide(nowNanos, actions);
        return actions;
    }

    /** Notes that another host is at work and has asked second leafs of some shards. */
    public void onStageProgress(StageAttempt stage, List<Integer> askedTwice) {
        stage.hear();
        for (int shard : askedTwice) {
            if (stage.shards().contains(shard)) {
                shards.get(shard).delegateAskedTwice();
            }
        }
    }

    /**
     * Takes the failure of another host.
     *
     * @param notRun true if it has certainly not sent the request to any leaf
     */
    public List<RoutedAction> onStageFailure(StageAttempt stage, boolean notRun, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over || stage.isOver()) {
            return actions;
        }
        stage.finish();
        actions.add(new RoutedAction.Count(AttemptCounter.STAGE_LOST));
        takeBack(stage, notRun, nowNanos, actions);
        decide(nowNanos, actions);
        return actions;
    }

    /** Looks at the time: hedges what is late, and seals when the goal or the deadline has come. */
    public List<RoutedAction> wake(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        wakeArmed = false;
        lastLookNanos = nowNanos;
        closeAtGoal(nowNanos, actions);
        long lagNanos = context.lagNanos(nowNanos);
        for (StageAttempt stage : stages.abandonSilent(nowNanos - lagNanos - startedNanos, actions)) {
            stage.shards().forEach(shard -> shards.get(shard).backUp(nowNanos, actions));
            if (stage.shards().stream().noneMatch(shard -> shards.get(shard).isAwaitedElsewhere())) {
                // A host that begins late would ask second and third leafs of shards that are asked here by now.
                stage.finish();
                actions.add(new RoutedAction.AbandonStage(stage));
            }
        }
        Optional<AttemptCounter> denial = hedgeDenial(lagNanos, nowNanos);
        for (ShardRequest shard : shards) {
            shard.wake(denial, nowNanos, actions);
        }
        decide(nowNanos, actions);
        return actions;
    }

    /** Ends the query because its caller went away. */
    public List<RoutedAction> callerGone() {
        List<RoutedAction> actions = new ArrayList<>();
        over = true;
        for (ShardRequest shard : shards) {
            shard.abandon();
        }
        stages.giveUp(actions);
        return actions;
    }

    /** Returns true once the query has delivered, refused or lost its caller. */
    public boolean isOver() {
        return over;
    }

    /** Returns true if its answer lacks shards because its goal had come, and was enough by then. */
    public boolean wasFinalizedAtGoal() {
        return sealedByClock;
    }

    /** Returns true while shards of it are left to other hosts. */
    public boolean isAwaitingStages() {
        return !over && stages.areAwaited();
    }

    /** Returns the numbers of the shards at which more than one leaf was asked. */
    public ImmutableList<Integer> hedgedShards() {
        return shards.askedTwice();
    }

    /**
     * Returns why the query is refused, by what came of the attempts that were given up with it: if none of them had
     * been sent, it has not run.
     */
    public RefusalReason finalRefusalReason(RefusalReason decided) {
        return shards.areNotRun() ? shards.refusalReason(false) : decided;
    }

    /** Notes that a call to another host, which was given up, had not been sent. */
    public void onStageNeverSent(StageAttempt stage) {
        stage.shards().forEach(shard -> shards.get(shard).neverSentElsewhere());
    }

    /** Returns how many shards are not in. */
    public int missingShardCount() {
        return shards.count() - parts.count();
    }

    /** Returns true while no shard is in. */
    public boolean noShardAnswered() {
        return parts.count() == 0;
    }

    /** Returns in words which shards are not in and why, for a log line. */
    public String describeMissing(long nowNanos) {
        return shards.describeWithout(parts.shards(), nowNanos) + stages.describe();
    }

    /** Returns why no late shard should be hedged now, if there is a reason that holds for all of them. */
    private Optional<AttemptCounter> hedgeDenial(long lagNanos, long nowNanos) {
        if (lagNanos > bounds.hedgeDelayNanos() / LAG_DIVISOR) {
            return Optional.of(AttemptCounter.HEDGE_DENIED_HOST_LAG);
        }
        if (breaks.isInDoubt()) {
            return Optional.of(AttemptCounter.HEDGE_DENIED_BREAKS);
        }
        boolean slowService =
                shards.lateCount(nowNanos) > Math.max(LEAST_LATE_TO_SUSPECT, shards.count() / SLOW_SERVICE_DIVISOR);
        return slowService ? Optional.of(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE) : Optional.empty();
    }

    /**
     * Decides after one more shard is in. That makes nothing due earlier, so a wake that is set still serves: looking
     * at every shard for the next one, with every answer, took a seventh of the work that 225 shards cost.
     */
    private void decideAfterAnswer(long nowNanos, List<RoutedAction> actions) {
        if (!sealed(nowNanos, actions) && !wakeArmed) {
            armWake(nowNanos, actions);
        }
    }

    private void decide(long nowNanos, List<RoutedAction> actions) {
        breaks.advance(shards.waitingCount(), nowNanos, actions);
        if (!sealed(nowNanos, actions)) {
            armWake(nowNanos, actions);
        }
    }

    /** Ends the query if its time has come, or sends on what is in; returns true if it is over. */
    private boolean sealed(long nowNanos, List<RoutedAction> actions) {
        boolean nothingToWaitFor = shards.waitingCount() == 0 || !canBeEnough();
        boolean deadlineCome = nowNanos - bounds.deadlineNanos() >= 0;
        boolean goalCome = nowNanos - bounds.goalNanos() >= 0;
        boolean finished = nothingToWaitFor || deadlineCome;
        if (isEnough() && (finished || (goalCome && delivery == Delivery.SINGLE))) {
            ImmutableList<Integer> notSent = shards.notSent();
            sealedByClock = goalCome && !lookedAfterGoal && !nothingToWaitFor;
            end(actions);
            actions.add(new RoutedAction.DeliverMerged(parts.takeNew(notSent)));
            return true;
        }
        if (finished) {
            RefusalReason reason = shards.refusalReason(deadlineCome);
            end(actions);
            actions.add(new RoutedAction.Refuse(reason));
            return true;
        }
        lookedAfterGoal |= goalCome;
        if (goalCome && delivery == Delivery.INCREMENTAL && parts.hasNew()) {
            actions.add(new RoutedAction.DeliverPartial(parts.takeNew(ImmutableList.of())));
        }
        return false;
    }

    /** After its goal a query for another host makes no attempts: that host may make them itself, and counts them. */
    private void closeAtGoal(long nowNanos, List<RoutedAction> actions) {
        if (delivery == Delivery.INCREMENTAL && nowNanos - bounds.goalNanos() >= 0) {
            for (ShardRequest shard : shards) {
                shard.close(actions);
            }
        }
    }

    /** Adds what another host gathered, if it fits; otherwise its shards stay as they are. */
    private void take(StageAttempt stage, StageReply reply) {
        if (fits(stage, reply)) {
            if (!reply.shards().isEmpty()) {
                breaks.survived();
            }
            reply.shards().forEach(shard -> shards.get(shard).answeredElsewhere());
            parts.addAll(reply);
        }
    }

    /** Returns true if the merged reply can be added: its records cannot be taken apart again. */
    private boolean fits(StageAttempt stage, StageReply reply) {
        Set<Integer> seen = new HashSet<>();
        for (int position = 0; position < reply.shards().size(); position++) {
            int shard = reply.shards().get(position);
            boolean open = stage.shards().contains(shard)
                    && seen.add(shard)
                    && !shards.get(shard).isFinished();
            if (!open) {
                return false;
            }
        }
        return parts.areNew(reply.signatures());
    }

    private void takeBack(StageAttempt stage, boolean notRun, long nowNanos, List<RoutedAction> actions) {
        for (int shard : stage.shards()) {
            shards.get(shard).takeBack(notRun, breaks::mayAskAgain, nowNanos, actions);
        }
    }

    private boolean isEnough() {
        return parts.count() > 0 && parts.count() >= target.minCoverage() * shards.count();
    }

    /** Returns false once so many shards are lost that there will be no answer, whatever the others bring. */
    private boolean canBeEnough() {
        return !context.uses(RoutingFeature.EARLY_END)
                || parts.count() + shards.waitingCount() >= target.minCoverage() * shards.count();
    }

    private void end(List<RoutedAction> actions) {
        over = true;
        shards.finish(actions);
        stages.giveUp(actions);
    }

    private void armWake(long nowNanos, List<RoutedAction> actions) {
        boolean goalAhead = nowNanos - bounds.goalNanos() < 0;
        long latest = goalAhead ? bounds.goalNanos() : bounds.deadlineNanos();
        long next = shards.earliestWakeNanos(latest);
        long notBefore = lastLookNanos + BETWEEN_LOOKS_NANOS;
        if (next - notBefore < 0) {
            next = latest - notBefore < 0 ? latest : notBefore;
        }
        Optional<Long> silence = stages.nextSilenceNanos(startedNanos, nowNanos);
        if (silence.isPresent() && silence.get() - next < 0) {
            next = silence.get();
        }
        if (!wakeArmed || next - armedWakeNanos < 0) {
            wakeArmed = true;
            armedWakeNanos = next;
            actions.add(new RoutedAction.Wake(next));
        }
    }
}
