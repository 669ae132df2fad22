package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.PermittedLeaves;
import org.bramblerack.process.leaf.RoutingContext;
import org.bramblerack.process.leaf.RoutingFeature;
import org.bramblerack.version.routing.RouteTarget;

/**
 * The decisions of one query over the shards of one configuration version: which leaves to call, when to hedge and
 * retry, and when to finalize the answer.
 *
 * <p>The value of an answer is the square of the share of its shards, and almost nothing after its goal. The query
 * therefore waits for every shard until the goal. At the goal it delivers the parts that it has, if they are enough;
 * afterwards it delivers as soon as they are enough. It ends early when every shard has answered or failed, or when too
 * many have failed.
 *
 * <p>Shards with distant leaves may be delegated to a host near them, which calls and hedges and returns the merged
 * parts. If that host is silent for too long, the query calls these shards itself with the remaining attempts, and the
 * first answer counts.
 *
 * <p>Invariants: every part belongs to a shard of the query, at most one to each, and signatures are unique. Exactly
 * one {@link RoutedAction.DeliverMerged} or {@link RoutedAction.Refuse} is returned, unless the caller disconnects
 * first. Not safe for use by several threads.
 */
public final class ScatterQuery {
    /**
     * The service as a whole is considered slow if more shards than this, and more than a fraction of all, are late at
     * once.
     */
    private static final int MIN_LATE_SHARDS_FOR_SLOW_SERVICE = 4;

    private static final int SLOW_SERVICE_SHARD_DIVISOR = 3;

    /**
     * If the lag of this host exceeds the hedge delay divided by this, an answer that seems late may just be unread.
     */
    private static final int HEDGE_DELAY_LAG_DIVISOR = 2;
    /** Minimum interval between scans of all shards for overdue attempts; each leaf has its own threshold. */
    private static final long MIN_SCAN_INTERVAL_NANOS = Duration.ofMillis(3).toNanos();

    private final RouteTarget.Scatter target;
    private final RequestBounds bounds;
    private final QueryShards shards;
    private final QueryStages stages;
    private final AttemptExchange attemptExchange;
    private final GatheredParts parts;
    private final Delivery delivery;
    private final RoutingContext context;
    private final DisconnectProbe disconnectProbe = new DisconnectProbe();
    private final QueryRejections rejections = new QueryRejections();
    private boolean over;
    private boolean checkedAfterGoal;
    private boolean finalizedAtGoal;
    private long startedNanos;
    private long lastScanNanos;
    private long scheduledWakeNanos;
    private boolean wakeScheduled;

    /** How the collected parts are delivered at the goal. */
    public enum Delivery {
        /** In one answer, if there are enough of them. */
        SINGLE,
        /**
         * At once, however few, and later parts as they arrive: only the host that delegated the query can decide
         * whether they are enough.
         */
        INCREMENTAL
    }

    /**
     * Creates a query; no leaf is called before {@link #start}.
     *
     * @param pools the leaves of each shard, in the order of the shards
     * @param stages the shards that are delegated to other hosts, each to one at most
     * @param context the routing state that all requests of this host share
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
        this.attemptExchange = new AttemptExchange(shards, this.stages);
    }

    /** Starts one attempt on every shard, from here or through another host. */
    public List<RoutedAction> start(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2 * shards.count() + 1);
        startedNanos = nowNanos;
        lastScanNanos = nowNanos - MIN_SCAN_INTERVAL_NANOS;
        for (StageAttempt stage : stages.all()) {
            stage.shards().forEach(shard -> shards.get(shard).delegate());
        }
        stages.callAll(actions);
        for (ShardRequest shard : shards) {
            if (!shard.isDelegated()) {
                shard.start(nowNanos, actions);
            }
        }
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Handles a complete, signed answer of a leaf. */
    public List<RoutedAction> onAnswer(Attempt attempt, PartReply reply, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        ShardRequest shard = attempt.shard();
        if (over || shard.isFinished()) {
            rejections.onAccepted(actions);
            attempt.finish(Attempt.State.ANSWERED);
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        if (!parts.add(shards.numberOf(shard), reply)) {
            actions.add(new RoutedAction.RecordLeafFailure(attempt));
            actions.addAll(onFailure(attempt, LeafOutcome.GARBLED, nowNanos));
            return actions;
        }
        rejections.onAccepted(actions);
        shard.onAnswer(attempt, actions);
        if (disconnectProbe.isHarmPossible()) {
            disconnectProbe.leafSurvived();
            finalizeOrScheduleWake(nowNanos, actions);
            return actions;
        }
        disconnectProbe.leafSurvived();
        finalizeAfterAnswer(nowNanos, actions);
        return actions;
    }

    /** Handles the failure of an attempt. */
    public List<RoutedAction> onFailure(Attempt attempt, LeafOutcome outcome, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        closeShardsAtGoal(nowNanos, actions);
        if (outcome.showsSurvival()) {
            disconnectProbe.leafSurvived();
        }
        if (outcome == LeafOutcome.REJECTED) {
            rejections.onRejected(attempt, actions);
        }
        attempt.shard().onFailure(attempt, outcome, disconnectProbe::mayRetry, nowNanos, actions);
        if (!over) {
            finalizeOrScheduleWake(nowNanos, actions);
        }
        return actions;
    }

    /** Handles a partial result of another host; more may follow. */
    public List<RoutedAction> onStagePartial(StageAttempt stage, StageReply partial, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (over || stage.isOver()) {
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        stage.recordResponse();
        mergeStageReply(stage, partial, actions);
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Handles the last reply of another host. Shards that it lacks are called from here if attempts remain. */
    public List<RoutedAction> onStageReply(StageAttempt stage, StageReply reply, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(2);
        if (over) {
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        attemptExchange.takeBack(stage, reply.unusedAttempts());
        if (stage.isOver()) {
            actions.add(new RoutedAction.Count(AttemptCounter.LATE_ANSWER));
            return actions;
        }
        stage.finish();
        mergeStageReply(stage, reply, actions);
        reply.notSent().stream()
                .filter(shard -> stage.shards().contains(shard))
                .forEach(shard -> shards.get(shard).reclaim(true, disconnectProbe::mayRetry, nowNanos, actions));
        boolean answerBeforeGoal = nowNanos + bounds.expectedNanos() - bounds.goalNanos() < 0;
        if (answerBeforeGoal || !hasEnoughShards()) {
            reclaimShards(stage, false, nowNanos, actions);
        } else {
            stage.shards().forEach(shard -> shards.get(shard).finish(actions));
        }
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Records that another host reported progress, and which shards it has hedged. */
    public List<RoutedAction> onStageProgress(StageAttempt stage, List<Integer> hedgedShards) {
        stage.recordResponse();
        List<RoutedAction> actions = new ArrayList<>(0);
        attemptExchange.onHedgesReported(stage, hedgedShards, actions);
        return actions;
    }

    /** Handles the request of a stage's host for one more attempt at each of some shards. */
    public List<RoutedAction> onAttemptsRequested(StageAttempt stage, List<Integer> requested, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>(3);
        if (over || stage.isOver()) {
            // The host was notified that its reply is no longer needed.
            return actions;
        }
        stage.recordResponse();
        attemptExchange.onRequested(stage, requested, actions);
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /**
     * Handles the reply of the delegating host to a request for attempts.
     *
     * @param granted the numbers of the shards for which an attempt belongs to this host from now on
     * @param denied the numbers of the shards for which there is none
     */
    public List<RoutedAction> onAttemptsAnswered(List<Integer> granted, List<Integer> denied, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        closeShardsAtGoal(nowNanos, actions);
        attemptExchange.onAnswered(granted, denied, nowNanos, actions);
        Optional<AttemptCounter> denial = hedgeDenial(context.lagNanos(nowNanos), nowNanos);
        granted.forEach(shard -> shards.get(shard).wake(denial, nowNanos, actions));
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /**
     * Handles the failure of another host.
     *
     * @param notRun true if the host has certainly not sent the request to any leaf
     */
    public List<RoutedAction> onStageFailure(StageAttempt stage, boolean notRun, long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        if (notRun) {
            attemptExchange.takeBackAll(stage);
        }
        if (stage.isOver()) {
            return actions;
        }
        stage.finish();
        actions.add(new RoutedAction.Count(AttemptCounter.STAGE_LOST));
        reclaimShards(stage, notRun, nowNanos, actions);
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Hedges late attempts, and finalizes the answer once the goal or the deadline has passed. */
    public List<RoutedAction> wake(long nowNanos) {
        List<RoutedAction> actions = new ArrayList<>();
        if (over) {
            return actions;
        }
        wakeScheduled = false;
        lastScanNanos = nowNanos;
        closeShardsAtGoal(nowNanos, actions);
        long lagNanos = context.lagNanos(nowNanos);
        for (StageAttempt stage : stages.abandonSilent(nowNanos - lagNanos - startedNanos, actions)) {
            stage.shards().forEach(shard -> shards.get(shard).startBackupAttempt(nowNanos, actions));
            if (stage.shards().stream().noneMatch(shard -> shards.get(shard).isAwaitedElsewhere())) {
                // A host that starts late would call leaves of shards that are called from here by now.
                stage.finish();
                actions.add(new RoutedAction.AbandonStage(stage));
            }
        }
        Optional<AttemptCounter> denial = hedgeDenial(lagNanos, nowNanos);
        for (ShardRequest shard : shards) {
            shard.wake(denial, nowNanos, actions);
        }
        finalizeOrScheduleWake(nowNanos, actions);
        return actions;
    }

    /** Ends the query as if its deadline had passed, because this host is about to end. */
    public List<RoutedAction> endNow() {
        List<RoutedAction> actions = new ArrayList<>();
        if (!over) {
            finalizeIfDue(bounds.deadlineNanos(), actions);
        }
        return actions;
    }

    /** Ends the query after its caller disconnected. */
    public List<RoutedAction> callerGone() {
        List<RoutedAction> actions = new ArrayList<>();
        over = true;
        for (ShardRequest shard : shards) {
            shard.abandon();
        }
        stages.abandonRemaining(actions);
        return actions;
    }

    /** Returns true once the query has delivered, refused or lost its caller. */
    public boolean isOver() {
        return over;
    }

    /** Returns true if the answer was finalized at the goal with enough shards but not all. */
    public boolean wasFinalizedAtGoal() {
        return finalizedAtGoal;
    }

    /** Returns true while the query waits for other hosts. */
    public boolean isAwaitingStages() {
        return !over && stages.isAnyAwaited();
    }

    /** Returns the numbers of the shards for which more than one leaf was called. */
    public ImmutableList<Integer> hedgedShards() {
        return shards.hedgedShards();
    }

    /**
     * Returns the refusal reason after the remaining attempts were abandoned: if none of the query's attempts was sent,
     * it has not run.
     *
     * @param provisional the reason that was determined before the attempts were abandoned
     */
    public RefusalReason finalRefusalReason(RefusalReason provisional) {
        return shards.isNotRun() ? shards.refusalReason(false) : provisional;
    }

    /** Records that an abandoned call to another host had not been sent. */
    public void onStageNeverSent(StageAttempt stage) {
        attemptExchange.takeBackAll(stage);
    }

    /** Returns the number of shards that have not answered. */
    public int missingShardCount() {
        return shards.count() - parts.count();
    }

    public boolean noShardAnswered() {
        return parts.count() == 0;
    }

    /** Describes the shards that have not answered, and the stages, for a log line. */
    public String describeMissing(long nowNanos) {
        return shards.describeWithout(parts.shards(), nowNanos) + stages.describe();
    }

    /** Describes some shards for a log line. */
    public String describe(ImmutableList<Integer> numbers, long nowNanos) {
        return shards.describe(numbers, nowNanos);
    }

    /** Returns the reason, if any, for which no shard of the query may be hedged now. */
    private Optional<AttemptCounter> hedgeDenial(long lagNanos, long nowNanos) {
        if (lagNanos > bounds.hedgeDelayNanos() / HEDGE_DELAY_LAG_DIVISOR) {
            return Optional.of(AttemptCounter.HEDGE_DENIED_HOST_LAG);
        }
        if (disconnectProbe.isHarmPossible()) {
            return Optional.of(AttemptCounter.HEDGE_DENIED_BREAKS);
        }
        boolean slowService = shards.hedgeDueCount(nowNanos)
                > Math.max(MIN_LATE_SHARDS_FOR_SLOW_SERVICE, shards.count() / SLOW_SERVICE_SHARD_DIVISOR);
        return slowService ? Optional.of(AttemptCounter.HEDGE_DENIED_SLOW_SERVICE) : Optional.empty();
    }

    /**
     * Finalizes the query if it is complete. An answer makes nothing due earlier, so that a scheduled wake-up remains
     * valid and the scan of all shards for the next one, a seventh of the work at 225 shards, is skipped.
     */
    private void finalizeAfterAnswer(long nowNanos, List<RoutedAction> actions) {
        if (!finalizeIfDue(nowNanos, actions) && !wakeScheduled) {
            scheduleWake(nowNanos, actions);
        }
    }

    private void finalizeOrScheduleWake(long nowNanos, List<RoutedAction> actions) {
        disconnectProbe.resumeDecided(shards.unfinishedCount(), nowNanos, actions);
        attemptExchange.requestNeeded(actions);
        if (!finalizeIfDue(nowNanos, actions)) {
            scheduleWake(nowNanos, actions);
        }
    }

    /**
     * Finalizes the query if it is complete or its time is up, or delivers a partial result; returns true if it ended.
     */
    private boolean finalizeIfDue(long nowNanos, List<RoutedAction> actions) {
        boolean nothingToWaitFor = shards.unfinishedCount() == 0 || !canReachEnoughShards();
        boolean deadlineReached = nowNanos - bounds.deadlineNanos() >= 0;
        boolean goalReached = nowNanos - bounds.goalNanos() >= 0;
        boolean finished = nothingToWaitFor || deadlineReached;
        boolean answerable = hasEnoughShards() || (delivery == Delivery.INCREMENTAL && shards.areAllRefused());
        if (answerable && (finished || (goalReached && delivery == Delivery.SINGLE))) {
            ImmutableList<Integer> notSent = shards.notSent();
            ImmutableList<Integer> unusedAttempts =
                    delivery == Delivery.INCREMENTAL ? shards.unusedAttempts() : ImmutableList.of();
            finalizedAtGoal = goalReached && !checkedAfterGoal && !nothingToWaitFor;
            end(actions);
            actions.add(new RoutedAction.DeliverMerged(parts.drainNew(notSent, unusedAttempts)));
            return true;
        }
        if (finished) {
            RefusalReason reason = shards.refusalReason(deadlineReached);
            end(actions);
            actions.add(new RoutedAction.Refuse(reason));
            return true;
        }
        checkedAfterGoal |= goalReached;
        if (goalReached && delivery == Delivery.INCREMENTAL && parts.hasNew()) {
            actions.add(new RoutedAction.DeliverPartial(parts.drainNew(ImmutableList.of(), ImmutableList.of())));
        }
        return false;
    }

    /**
     * Stops new attempts after the goal of a delegated query, since the delegating host may then make attempts itself.
     */
    private void closeShardsAtGoal(long nowNanos, List<RoutedAction> actions) {
        if (delivery == Delivery.INCREMENTAL && nowNanos - bounds.goalNanos() >= 0) {
            for (ShardRequest shard : shards) {
                shard.close(actions);
            }
        }
    }

    /** Merges the reply of another host if it is valid; otherwise ignores it. */
    private void mergeStageReply(StageAttempt stage, StageReply reply, List<RoutedAction> actions) {
        if (canMerge(stage, reply)) {
            if (!reply.shards().isEmpty()) {
                disconnectProbe.leafSurvived();
                rejections.onAccepted(actions);
            }
            reply.shards().forEach(shard -> shards.get(shard).onAnswerElsewhere());
            parts.addAll(reply);
        }
    }

    /** Returns true if a reply can be merged as a whole; its records cannot be separated by shard. */
    private boolean canMerge(StageAttempt stage, StageReply reply) {
        return stage.shards().containsAll(reply.shards())
                && shards.areUnfinished(reply.shards())
                && parts.areUnknown(reply.signatures());
    }

    private void reclaimShards(StageAttempt stage, boolean notRun, long nowNanos, List<RoutedAction> actions) {
        for (int shard : stage.shards()) {
            shards.get(shard).reclaim(notRun, disconnectProbe::mayRetry, nowNanos, actions);
        }
    }

    private boolean hasEnoughShards() {
        return parts.count() > 0 && parts.count() >= target.minCoverage() * shards.count();
    }

    /** Returns false if too many shards have failed for an answer. */
    private boolean canReachEnoughShards() {
        return !context.uses(RoutingFeature.EARLY_END)
                || parts.count() + shards.unfinishedCount() >= target.minCoverage() * shards.count();
    }

    private void end(List<RoutedAction> actions) {
        over = true;
        shards.finish(actions);
        stages.abandonRemaining(actions);
    }

    private void scheduleWake(long nowNanos, List<RoutedAction> actions) {
        boolean beforeGoal = nowNanos - bounds.goalNanos() < 0;
        long latest = beforeGoal ? bounds.goalNanos() : bounds.deadlineNanos();
        long next = shards.earliestWakeNanos(latest);
        long notBefore = lastScanNanos + MIN_SCAN_INTERVAL_NANOS;
        if (next - notBefore < 0) {
            next = latest - notBefore < 0 ? latest : notBefore;
        }
        Optional<Long> silence = stages.nextSilenceTimeoutNanos(startedNanos, nowNanos);
        if (silence.isPresent() && silence.get() - next < 0) {
            next = silence.get();
        }
        if (!wakeScheduled || next - scheduledWakeNanos < 0) {
            wakeScheduled = true;
            scheduledWakeNanos = next;
            actions.add(new RoutedAction.Wake(next));
        }
    }
}
