package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;

/**
 * The merged parts that another host returned for the shards of a stage.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param shards the numbers of the shards that have answered
 * @param signatures the signatures of their parts, in the same order
 * @param notSent the numbers of the shards for which the host sent the query to no leaf
 * @param unusedAttempts the numbers of other shards, once for each attempt that was handed over and not used
 * @param records the greatest records of these parts, in descending order
 */
public record StageReply(
        ImmutableList<Integer> shards,
        ImmutableList<String> signatures,
        ImmutableList<Integer> notSent,
        ImmutableList<Integer> unusedAttempts,
        ByteString records) {
    /** Rejects a reply with different numbers of shards and signatures. */
    public StageReply {
        checkArgument(
                shards.size() == signatures.size(),
                "stage reply has %s signatures for %s shards",
                signatures.size(),
                shards.size());
    }

    /** Creates a reply of a host that sent the query to a leaf of every shard. */
    public StageReply(ImmutableList<Integer> shards, ImmutableList<String> signatures, ByteString records) {
        this(shards, signatures, ImmutableList.of(), ImmutableList.of(), records);
    }
}
