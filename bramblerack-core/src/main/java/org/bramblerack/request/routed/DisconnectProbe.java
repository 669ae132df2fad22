package org.bramblerack.request.routed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Prevents a query that crashes leaves from crashing a second leaf of each of its shards.
 *
 * <p>If calls of a query to many shards are disconnected before any leaf has answered, either connections were lost and
 * a retry succeeds, or the query crashes the leaves that run it. Therefore only the first disconnected shard retries,
 * as a probe. The other shards wait until any leaf answers, which proves that the query does not crash every leaf. If
 * the retry is disconnected too, the waiting shards fail as soon as no answer is outstanding.
 *
 * <p>Invariant: until a leaf has answered, at most one shard retries after a disconnect. Not safe for use by several
 * threads.
 */
final class DisconnectProbe {
    private final Deque<ShardRequest> waiting = new ArrayDeque<>();
    private @Nullable ShardRequest probe;
    private boolean leafSurvived;
    private boolean disconnectedTwice;

    /**
     * Returns true if a shard may retry now after a disconnect; otherwise the shard is queued until the probe is
     * decided.
     */
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

    /** Returns true if a call was disconnected and no leaf has answered. */
    boolean isHarmPossible() {
        return probe != null && !leafSurvived;
    }

    /** Records that a leaf survived the query. */
    void leafSurvived() {
        leafSurvived = true;
    }

    /**
     * Resumes or fails the waiting shards as far as the probe is decided.
     *
     * @param unfinishedCount the number of shards of the query that are not finished, including the waiting ones
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
