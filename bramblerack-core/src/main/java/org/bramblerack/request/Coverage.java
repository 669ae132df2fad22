package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.BitSet;
import java.util.stream.IntStream;

/**
 * Which shards of one index version an answer includes.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class Coverage {
    private final int shardCount;
    private final BitSet covered;

    private Coverage(int shardCount, BitSet covered) {
        this.shardCount = shardCount;
        this.covered = covered;
    }

    /**
     * Creates a coverage.
     *
     * @param shardCount the number of shards of the index version
     * @param covered the shards covered; copied
     */
    public static Coverage of(int shardCount, BitSet covered) {
        checkArgument(shardCount > 0, "shard count %s is not positive", shardCount);
        checkArgument(covered.length() <= shardCount, "shards %s of %s do not exist", covered, shardCount);
        return new Coverage(shardCount, (BitSet) covered.clone());
    }

    /** Returns the number of shards of the index version. */
    public int shardCount() {
        return shardCount;
    }

    /** Returns how many shards are covered. */
    public int coveredCount() {
        return covered.cardinality();
    }

    /** Returns true if every shard is covered. */
    public boolean isWhole() {
        return coveredCount() == shardCount;
    }

    /** Returns the shards that are missing, in order. */
    public ImmutableList<Integer> missing() {
        return IntStream.range(0, shardCount)
                .filter(shard -> !covered.get(shard))
                .boxed()
                .collect(ImmutableList.toImmutableList());
    }

    @Override
    public String toString() {
        return coveredCount() + "/" + shardCount;
    }
}
