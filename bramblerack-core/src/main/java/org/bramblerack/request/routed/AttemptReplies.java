package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import java.util.List;

/** Collects the replies to a stage's request for attempts. Not safe for use by several threads. */
final class AttemptReplies {
    private final ImmutableList.Builder<Integer> granted = ImmutableList.builder();
    private final ImmutableList.Builder<Integer> denied = ImmutableList.builder();
    private int count;

    void add(int shard, ShardRequest.AttemptReply reply) {
        switch (reply) {
            case GRANTED -> granted.add(shard);
            case DENIED -> denied.add(shard);
            case LATER -> {
                return;
            }
        }
        count++;
    }

    /** Adds the action that sends the replies, if there are any, and counts them. */
    void addTo(List<RoutedAction> actions, StageAttempt stage) {
        if (count == 0) {
            return;
        }
        RoutedAction.AnswerAttemptRequest answer =
                new RoutedAction.AnswerAttemptRequest(stage, granted.build(), denied.build());
        answer.granted().forEach(shard -> actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPT_HANDED_OVER)));
        answer.denied().forEach(shard -> actions.add(new RoutedAction.Count(AttemptCounter.ATTEMPT_DENIED)));
        actions.add(answer);
    }
}
