package org.bramblerack.request.routed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one query from ending a second leaf of each of its shards.
 *
 * <p>The load: calls on many shards break at one moment, before any leaf has answered. Either connections were lost,
 * and a second call will be answered; or the query ends the leafs that run it, and a second call ends the next leaf. So
 * the first shard whose call broke asks again at once and the others wait for what comes of it, or for the first answer
 * of any shard: a leaf that has answered has survived the query. If the second call breaks as well, the others wait for
 * an answer only, and give up once none can come.
 *
 * <p>Invariant: until a leaf has answered, at most one shard asks again after a break. Not safe for use by several
 * threads.
 */
final class DisconnectProbe {
    private final Deque<ShardRequest> waiting = new ArrayDeque<>();
    private @Nullable ShardRequest probe;
    private boolean leafSurvived;
    private boolean disconnectedTwice;

    /** Returns true if a shard may ask again now after its call broke; otherwise it is to wait, or to give up. */
    boolean mayRetry(ShardRequest shard) {
        if (leafSurvived) {
            return true;
        }
        disconnectedTwice |= shard == probe;
        if (!disconnectedTwice && (probe == null || probe.isFinished())) {
            probe = shard;
            return true;
        }
        waiting.add(shard);
        return false;
    }

    /** Returns true while a call has broken and no leaf has answered. */
    boolean isHarmPossible() {
        return probe != null && !leafSurvived;
    }

    /** Notes that a leaf has answered the query. */
    void leafSurvived() {
        leafSurvived = true;
    }

    /**
     * Lets shards ask again, or give up, as far as that is decided.
     *
     * @param unfinishedCount how many shards of the query may still bring an answer, those that wait here included
     */
    void resumeDecided(int unfinishedCount, long nowNanos, List<RoutedAction> actions) {
        waiting.removeIf(ShardRequest::isFinished);
        if (leafSurvived) {
            resumeAll(nowNanos, actions);
        } else if (disconnectedTwice && waiting.size() == unfinishedCount) {
            waiting.forEach(shard -> shard.failDeferred(actions));
            waiting.clear();
        } else if (!disconnectedTwice && !waiting.isEmpty() && probe != null && probe.isFinished()) {
            probe = waiting.remove();
            probe.resume(nowNanos, actions);
        }
    }

    private void resumeAll(long nowNanos, List<RoutedAction> actions) {
        while (!waiting.isEmpty()) {
            waiting.remove().resume(nowNanos, actions);
        }
    }
}
