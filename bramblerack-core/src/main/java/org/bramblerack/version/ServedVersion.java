package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An upstream's statement that it serves one shard of one index version.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param indexVersion the index version
 * @param shard the shard, counted from 0
 * @param shardCount how many shards that index version has
 */
public record ServedVersion(long indexVersion, int shard, int shardCount) {
    /** Refuses a shard outside of the count. */
    public ServedVersion {
        checkArgument(shard >= 0 && shard < shardCount, "shard %s of %s does not exist", shard, shardCount);
    }
}
