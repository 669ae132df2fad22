package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.bramblerack.process.leaf.PermittedLeaves;

/**
 * The shards of one query and their state, by number.
 *
 * <p>Invariant: the set of shards never changes. Not safe for use by several threads.
 */
final class QueryShards implements Iterable<ShardRequest> {
    private final ShardRequest[] shards;
    private final Map<ShardRequest, Integer> numbers = new HashMap<>();
    private ImmutableList.Builder<Integer> attemptsRequested = ImmutableList.builder();
    /** Maintained incrementally, since it is read on every answer. */
    private int unfinished;

    /**
     * Creates shards without attempts.
     *
     * @param pools the leaves of each shard, in the order of the shards
     */
    QueryShards(ImmutableList<PermittedLeaves> pools, RequestBounds bounds, boolean hedged, RandomGenerator random) {
        shards = new ShardRequest[pools.size()];
        unfinished = shards.length;
        for (int shard = 0; shard < shards.length; shard++) {
            shards[shard] = new ShardRequest(pools.get(shard), bounds, true, hedged, random, listener(shard));
            numbers.put(shards[shard], shard);
        }
    }

    private ShardListener listener(int shard) {
        return new ShardListener() {
            @Override
            public void onFinished() {
                unfinished--;
            }

            @Override
            public void onAttemptRequested() {
                attemptsRequested.add(shard);
            }
        };
    }

    /** Returns the shards that requested an attempt from the delegating host since the last call. */
    ImmutableList<Integer> drainAttemptsRequested() {
        ImmutableList<Integer> drained = attemptsRequested.build();
        if (!drained.isEmpty()) {
            attemptsRequested = ImmutableList.builder();
        }
        return drained;
    }

    @Override
    public Iterator<ShardRequest> iterator() {
        return Arrays.asList(shards).iterator();
    }

    ShardRequest get(int shard) {
        return shards[shard];
    }

    int count() {
        return shards.length;
    }

    /** Returns the number of a shard of this query. */
    int numberOf(ShardRequest shard) {
        Integer number = numbers.get(shard);
        if (number == null) {
            throw new IllegalStateException("the attempt belongs to another query");
        }
        return number;
    }

    /** Returns true if some shards are different and none of them has finished. */
    boolean areUnfinished(List<Integer> shardNumbers) {
        return new HashSet<>(shardNumbers).size() == shardNumbers.size()
                && shardNumbers.stream().noneMatch(shard -> shards[shard].isFinished());
    }

    /** Returns the number of shards that may still answer. */
    int unfinishedCount() {
        return unfinished;
    }

    /** Returns the number of shards with a late attempt that may be hedged. */
    int hedgeDueCount(long nowNanos) {
        return count(shard -> shard.isHedgeDue(nowNanos));
    }

    /** Returns the numbers of the shards for which more than one leaf was called. */
    ImmutableList<Integer> hedgedShards() {
        return numbers(ShardRequest::wasHedged);
    }

    /** Returns the numbers of the shards for which the query cannot have reached a leaf. */
    ImmutableList<Integer> notSent() {
        return numbers(shard -> !shard.wasSent());
    }

    /** Returns the numbers of the shards that were sent, once for each attempt that was not used. */
    ImmutableList<Integer> unusedAttempts() {
        ImmutableList.Builder<Integer> unused = ImmutableList.builder();
        for (int shard = 0; shard < shards.length; shard++) {
            int count = shards[shard].wasSent() ? shards[shard].allowance().available() : 0;
            unused.addAll(Collections.nCopies(Math.max(0, count), shard));
        }
        return unused.build();
    }

    /** Returns true if no leaf has run the query or will run it. */
    boolean isNotRun() {
        return count(ShardRequest::isNotRun) == shards.length;
    }

    /**
     * Returns true if the query was sent but no leaf has run it. The reply to a delegating host then names the shards
     * that were sent, which it would take for not sent if the query were refused as not run.
     */
    boolean areAllRefused() {
        return isNotRun() && count(ShardRequest::wasSent) > 0 && count(ShardRequest::isQuarantined) == 0;
    }

    /**
     * Returns the reason for refusing a query with too few shards.
     *
     * @param deadlineReached true if the deadline has passed
     */
    RefusalReason refusalReason(boolean deadlineReached) {
        if (isNotRun()) {
            if (count(ShardRequest::isQuarantined) > 0) {
                return RefusalReason.HARMFUL;
            }
            boolean attempted = count(ShardRequest::wasAttempted) > 0;
            return attempted ? RefusalReason.ALL_BUSY : shards[0].notRunReason();
        }
        return deadlineReached ? RefusalReason.TIME_UP : RefusalReason.TOO_FEW_SHARDS;
    }

    /** Returns the earliest time at which a shard needs to be woken, but at most the given time. */
    long earliestWakeNanos(long latestNanos) {
        long next = latestNanos;
        for (ShardRequest shard : shards) {
            long wakeNanos = shard.nextWakeNanos(latestNanos);
            if (wakeNanos - next < 0) {
                next = wakeNanos;
            }
        }
        return next;
    }

    /** Ends all shards and abandons the attempts in flight. */
    void finish(List<RoutedAction> actions) {
        for (ShardRequest shard : shards) {
            shard.finish(actions);
        }
    }

    /** Describes the shards that have not answered for a log line. */
    String describeWithout(ImmutableSet<Integer> present, long nowNanos) {
        return describe(numbers(shard -> !present.contains(numberOf(shard))), nowNanos);
    }

    /** Describes some shards for a log line. */
    String describe(ImmutableList<Integer> shardNumbers, long nowNanos) {
        return shardNumbers.stream()
                .map(number -> shards[number].describe(nowNanos))
                .collect(Collectors.joining("; "));
    }

    private int count(Predicate<ShardRequest> condition) {
        int count = 0;
        for (ShardRequest shard : shards) {
            count += condition.test(shard) ? 1 : 0;
        }
        return count;
    }

    private ImmutableList<Integer> numbers(Predicate<ShardRequest> condition) {
        ImmutableList.Builder<Integer> numbers = ImmutableList.builder();
        for (int shard = 0; shard < shards.length; shard++) {
            if (condition.test(shards[shard])) {
                numbers.add(shard);
            }
        }
        return numbers.build();
    }
}
