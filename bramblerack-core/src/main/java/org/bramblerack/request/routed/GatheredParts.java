package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Collects the parts of one query: the shards that have answered, their signatures, and the greatest records.
 *
 * <p>Invariants: each signature is added at most once. Parts that {@link #drainNew} has returned are not returned
 * again. Not safe for use by several threads.
 */
final class GatheredParts {
    private final int topRecords;
    private final int shardCount;
    private final Set<Integer> shards = new HashSet<>();
    private final Set<String> signatures = new HashSet<>();
    private ImmutableList.Builder<Integer> newShards = ImmutableList.builder();
    private ImmutableList.Builder<String> newSignatures = ImmutableList.builder();
    private TopRecords newRecords;
    private int newCount;

    GatheredParts(int topRecords, int shardCount) {
        this.topRecords = topRecords;
        this.shardCount = shardCount;
        this.newRecords = new TopRecords(topRecords);
    }

    /** Returns the number of shards that have answered. */
    int count() {
        return shards.size();
    }

    /** Returns the numbers of the shards that have answered. */
    ImmutableSet<Integer> shards() {
        return ImmutableSet.copyOf(shards);
    }

    /** Returns true if parts were added since the last call of {@link #drainNew}. */
    boolean hasNew() {
        return newCount > 0;
    }

    /** Adds the part of one shard; returns false if its signature was added before. */
    boolean add(int shard, PartReply part) {
        if (!signatures.add(part.signature())) {
            return false;
        }
        record(shard, part.signature());
        newRecords.addAll(part.records());
        return true;
    }

    /** Returns true if no signature was added before or appears twice. */
    boolean areUnknown(List<String> candidates) {
        return new HashSet<>(candidates).size() == candidates.size()
                && candidates.stream().noneMatch(signatures::contains);
    }

    /** Adds the merged parts of several shards; their signatures must be unknown. */
    void addAll(StageReply reply) {
        for (int position = 0; position < reply.shards().size(); position++) {
            signatures.add(reply.signatures().get(position));
            record(reply.shards().get(position), reply.signatures().get(position));
        }
        newRecords.addAll(reply.records());
    }

    /**
     * Returns the merged parts that were added since the last call.
     *
     * @param notSent the numbers of the shards for which no leaf was sent the query
     * @param unusedAttempts the numbers of other shards, once for each attempt that was not used
     */
    MergedAnswer drainNew(ImmutableList<Integer> notSent, ImmutableList<Integer> unusedAttempts) {
        MergedAnswer answer = new MergedAnswer(
                newShards.build(),
                newSignatures.build(),
                shardCount - shards.size(),
                notSent,
                unusedAttempts,
                newRecords.toBytes());
        newShards = ImmutableList.builder();
        newSignatures = ImmutableList.builder();
        newRecords = new TopRecords(topRecords);
        newCount = 0;
        return answer;
    }

    private void record(int shard, String signature) {
        shards.add(shard);
        newShards.add(shard);
        newSignatures.add(signature);
        newCount++;
    }
}
