package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;

/**
 * The answer to a query over many shards.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param shards the numbers of the shards that are in
 * @param signatures the signatures of their parts, in the same order
 * @param missing how many shards are not in
 * @param notSent the numbers of the shards that no leaf was sent the query for
 * @param records the greatest records of these parts, the greatest first
 */
public record MergedAnswer(
        ImmutableList<Integer> shards,
        ImmutableList<String> signatures,
        int missing,
        ImmutableList<Integer> notSent,
        ByteString records) {}
