package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.BitSet;
import java.util.stream.IntStream;

/**
 * The set of shards of one index version that an answer includes.
 *
 * <p>Immutable and thread-safe.
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
     * @param covered the covered shards; copied
     */
    public static Coverage of(int shardCount, BitSet covered) {
        checkArgument(shardCount > 0, "shard count %s is not positive", shardCount);
        checkArgument(
                covered.length() <= shardCount, "covered shards %s exceed the shard count %s", covered, shardCount);
        return new Coverage(shardCount, (BitSet) covered.clone());
    }

    public int shardCount() {
        return shardCount;
    }

    public int coveredCount() {
        return covered.cardinality();
    }

    public boolean isWhole() {
        return coveredCount() == shardCount;
    }

    /** Returns the shards that are not covered, in ascending order. */
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
