package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bramblerack.process.leaf.PermittedLeaves;

/**
 * The shards of one query and how each of them stands, by number.
 *
 * <p>Invariant: the shards stay the same as long as the query lives. Not safe for use by several threads.
 */
final class QueryShards implements Iterable<ShardRequest> {
    private final ShardRequest[] shards;
    private final Map<ShardRequest, Integer> numbers = new HashMap<>();
    /** Kept rather than counted: it is asked for with every answer, of which there are as many as shards. */
    private int unfinished;

    /**
     * Creates shards of which none was asked.
     *
     * @param pools the leafs of each shard, in the order of the shards
     */
    QueryShards(ImmutableList<PermittedLeaves> pools, RequestBounds bounds, boolean hedged, RandomGenerator random) {
        shards = new ShardRequest[pools.size()];
        unfinished = shards.length;
        for (int shard = 0; shard < shards.length; shard++) {
            shards[shard] = new ShardRequest(pools.get(shard), bounds, true, hedged, random, () -> unfinished--);
            numbers.put(shards[shard], shard);
        }
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
            throw new IllegalStateException("an attempt of another query");
        }
        return number;
    }

    /** Returns how many may still bring an answer. */
    int unfinishedCount() {
        return unfinished;
    }

    /** Returns at how many a second leaf would be asked now if nothing spoke against it. */
    int hedgeDueCount(long nowNanos) {
        return count(shard -> shard.isHedgeDue(nowNanos));
    }

    /** Returns the numbers of the shards at which more than one leaf was asked. */
    ImmutableList<Integer> hedgedShards() {
        return numbers(ShardRequest::wasHedged);
    }

    /** Returns the numbers of the shards that no leaf can have seen the query of. */
    ImmutableList<Integer> notSent() {
        return numbers(shard -> !shard.wasSent());
    }

    /** Returns true if no leaf has run the query, or will. */
    boolean isNotRun() {
        return count(ShardRequest::isNotRun) == shards.length;
    }

    /**
     * Returns why a query that brought too little is refused.
     *
     * @param deadlineReached true if its time is up
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

    /** Returns the earlier of a moment and the first at which a shard wants to be woken. */
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

    /** Ends all of them and gives up the attempts under way. */
    void finish(List<RoutedAction> actions) {
        for (ShardRequest shard : shards) {
            shard.finish(actions);
        }
    }

    /** Returns in words how the shards stand that are not present, for a log line. */
    String describeWithout(ImmutableSet<Integer> present, long nowNanos) {
        StringBuilder text = new StringBuilder();
        for (int shard = 0; shard < shards.length; shard++) {
            if (!present.contains(shard)) {
                text.append(text.length() == 0 ? "" : "; ").append(shards[shard].describe(nowNanos));
            }
        }
        return text.toString();
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
