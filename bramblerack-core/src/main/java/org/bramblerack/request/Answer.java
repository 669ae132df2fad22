package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;

/**
 * The answer to a query: the replies of the covered shards, all of one index version.
 *
 * <p>Invariant: every reply has the answer's index version and number of shards, no shard is there twice, and the
 * coverage is exactly the set of the replies' shards. Immutable and safe for use by many threads.
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

    /** Returns the index version that the whole answer reflects. */
    public long indexVersion() {
        return indexVersion;
    }

    /** Returns which shards the answer includes. */
    public Coverage coverage() {
        return coverage;
    }

    /** Returns the replies in the order of their shards. */
    public ImmutableList<CheckedReply> replies() {
        return replies;
    }

    /**
     * Gathers the replies of one index version.
     *
     * <p>Not safe for use by several threads. Once built it takes no more replies.
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

        /** Adds a reply; refuses one of another version and one of a shard that is covered. */
        void add(CheckedReply reply) {
            checkState(!built, "the answer is built already");
            checkArgument(
                    reply.indexVersion() == indexVersion && reply.shardCount() == shardCount,
                    "a reply of index version %s does not belong to an answer of %s",
                    reply.indexVersion(),
                    indexVersion);
            checkArgument(!covered.get(reply.shard()), "shard %s is covered already", reply.shard());
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
