package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;

/**
 * What another host gathered of the shards that were left to it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param shards the numbers of the shards that are in
 * @param signatures the signatures of their parts, in the same order
 * @param notSent the numbers of the shards that it sent the query to no leaf for, as it knows none
 * @param records the greatest records of these parts, the greatest first
 */
public record StageReply(
        ImmutableList<Integer> shards,
        ImmutableList<String> signatures,
        ImmutableList<Integer> notSent,
        ByteString records) {
    /** Refuses a reply whose lists do not match. */
    public StageReply {
        checkArgument(
                shards.size() == signatures.size(), "%s signatures for %s shards", signatures.size(), shards.size());
    }

    /** Creates a reply of a host that sent the query to a leaf of every shard. */
    public StageReply(ImmutableList<Integer> shards, ImmutableList<String> signatures, ByteString records) {
        this(shards, signatures, ImmutableList.of(), records);
    }
}
