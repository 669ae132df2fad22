package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * The answer to a query: replies of the covered shards, all from one index version.
 *
 * <p>Invariant: every reply has the answer's index version and shard count, each shard occurs at most once, and the
 * coverage is exactly the set of the replies' shards. Immutable and thread-safe.
 */
public final class Answer {
    private final long indexVersion;
    private final Coverage coverage;
    private final ImmutableList<CheckedReply> replies;

    private Answer(long indexVersion, Coverage coverage, ImmutableList<CheckedReply> replies) {
        this.indexVersion = indexVersion;
        this.coverage = coverage;
        this.replies = replies;
    }

    /** Returns the index version of all replies. */
    public long indexVersion() {
        return indexVersion;
    }

    public Coverage coverage() {
        return coverage;
    }

    /** Returns the replies ordered by shard. */
    public ImmutableList<CheckedReply> replies() {
        return replies;
    }

    /**
     * Collects the replies of one index version.
     *
     * <p>Not thread-safe. Accepts no replies after {@link #build}.
     */
    static final class Builder {
        private final long indexVersion;
        private final int shardCount;
        private final BitSet covered;
        private final List<CheckedReply> replies;
        private boolean built;

        Builder(long indexVersion, int shardCount) {
            checkArgument(shardCount > 0, "shard count %s is not positive", shardCount);
            this.indexVersion = indexVersion;
            this.shardCount = shardCount;
            this.covered = new BitSet(shardCount);
            this.replies = new ArrayList<>(shardCount);
        }

        /**
         * Adds a reply.
         *
         * @throws IllegalArgumentException if the reply is of another index version or its shard is already covered
         */
        void add(CheckedReply reply) {
            checkState(!built, "the answer was already built");
            checkArgument(
                    reply.indexVersion() == indexVersion && reply.shardCount() == shardCount,
                    "a reply of index version %s cannot be added to an answer of index version %s",
                    reply.indexVersion(),
                    indexVersion);
            checkArgument(!covered.get(reply.shard()), "shard %s is already covered", reply.shard());
            covered.set(reply.shard());
            replies.add(reply);
        }

        boolean isCovered(int shard) {
            return covered.get(shard);
        }

        int coveredCount() {
            return replies.size();
        }

        Coverage coverage() {
            return Coverage.of(shardCount, covered);
        }

        Answer build() {
            built = true;
            replies.sort(Comparator.comparingInt(CheckedReply::shard));
            return new Answer(indexVersion, coverage(), ImmutableList.copyOf(replies));
        }
    }
}
