package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * The shards of one index version and the replicas known to serve each.
 *
 * <p>Immutable and safe for use by many threads. The coverage of an answer is counted against this map.
 *
 * @param indexVersion the index version
 * @param replicas for each shard, the upstreams known to serve it; empty if none is known
 */
public record ShardMap(long indexVersion, ImmutableList<ImmutableList<UpstreamName>> replicas) {
    /** Rejects a map without shards. */
    public ShardMap {
        checkArgument(!replicas.isEmpty(), "index version %s has no shards", indexVersion);
    }

    /** Returns the number of shards of the index version. */
    public int shardCount() {
        return replicas.size();
    }
}
