package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A shard of an index version that an upstream serves.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param indexVersion the index version
 * @param shard the index of the shard, counted from 0
 * @param shardCount the number of shards of the index version
 */
public record ServedVersion(long indexVersion, int shard, int shardCount) {
    /** Rejects a shard that is not below the count. */
    public ServedVersion {
        checkArgument(shard >= 0 && shard < shardCount, "shard %s of %s does not exist", shard, shardCount);
    }
}
