package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges attempts at the shards of one query with the hosts of its stages, and with the host that delegated the
 * query; see {@link AttemptAllowance}. Guarded by the query; not safe for use by several threads.
 */
final class AttemptExchange {
    private static final int ATTEMPTS_OF_HEDGED_SHARD = 2;

    private final QueryShards shards;
    private final QueryStages stages;

    AttemptExchange(QueryShards shards, QueryStages stages) {
        this.shards = shards;
        this.stages = stages;
    }

    /** Replies to a stage's host, which requests an attempt at each of some shards, as far as this host can decide. */
    void onRequested(StageAttempt stage, List<Integer> requested, List<RoutedAction> actions) {
        Map<Integer, AttemptReply> replies = new HashMap<>();
        requested.stream()
                .filter(stage.shards()::contains)
                .forEach(shard -> replies.put(shard, shards.get(shard).onAttemptRequested()));
        addReply(stage, replies, actions);
    }

    /** Uses the attempts that the delegating host handed over, and replies to the stages' hosts that wait for them. */
    void onAnswered(List<Integer> granted, List<Integer> denied, long nowNanos, List<RoutedAction> actions) {
        Map<Integer, AttemptReply> replies = new HashMap<>();
        for (int shard : granted) {
            shards.get(shard).onAttemptGranted(nowNanos, actions).ifPresent(reply -> replies.put(shard, reply));
        }
        for (int shard : denied) {
            shards.get(shard).onAttemptDenied(actions).ifPresent(reply -> replies.put(shard, reply));
        }
        stages.all().forEach(stage -> addReply(stage, replies, actions));
    }

    /** Requests the attempts that shards have needed since the last call from the delegating host. */
    void requestNeeded(List<RoutedAction> actions) {
        ImmutableList<Integer> requested = shards.drainAttemptsRequested();
        if (!requested.isEmpty()) {
            actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPT_REQUESTED));
            actions.add(new RoutedAction.RequestAttempts(requested));
        }
    }

    /** Takes back attempts that a stage's host has not used; a shard is named once for each of them. */
    void takeBack(StageAttempt stage, List<Integer> unused) {
        unused.stream()
                .filter(stage.shards()::contains)
                .forEach(shard -> shards.get(shard).allowance().takeBack());
    }

    /** Takes back all attempts of a stage's host, which has certainly sent the query to no leaf and will not. */
    void takeBackAll(StageAttempt stage) {
        stage.shards().forEach(shard -> shards.get(shard).allowance().takeBackAll());
    }

    /** Checks the hedges that a stage's host reports against the attempts that it was handed. */
    void onHedgesReported(StageAttempt stage, List<Integer> hedged, List<RoutedAction> actions) {
        ImmutableList<Integer> exceeded = hedged.stream()
                .filter(stage.shards()::contains)
                .filter(shard -> !shards.get(shard).allowance().recordUsedByDelegate(ATTEMPTS_OF_HEDGED_SHARD))
                .collect(ImmutableList.toImmutableList());
        if (!exceeded.isEmpty()) {
            actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPTS_EXCEEDED));
            actions.add(new RoutedAction.ReportExceeded(stage, exceeded));
        }
    }

    private static void addReply(StageAttempt stage, Map<Integer, AttemptReply> replies, List<RoutedAction> actions) {
        ImmutableList<Integer> granted = shardsWith(AttemptReply.GRANTED, stage, replies);
        ImmutableList<Integer> denied = shardsWith(AttemptReply.DENIED, stage, replies);
        if (granted.isEmpty() && denied.isEmpty()) {
            return;
        }
        granted.forEach(shard -> actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPT_HANDED_OVER)));
        denied.forEach(shard -> actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPT_DENIED)));
        actions.add(new RoutedAction.AnswerAttemptRequest(stage, granted, denied));
    }

    private static ImmutableList<Integer> shardsWith(
            AttemptReply reply, StageAttempt stage, Map<Integer, AttemptReply> replies) {
        return stage.shards().stream()
                .filter(shard -> replies.get(shard) == reply)
                .collect(ImmutableList.toImmutableList());
    }
}
