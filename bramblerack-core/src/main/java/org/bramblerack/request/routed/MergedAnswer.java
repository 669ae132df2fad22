package org.bramblerack.request.routed;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;

/**
 * The answer to a query over many shards.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param shards the numbers of the shards that have answered
 * @param signatures the signatures of their parts, in the same order
 * @param missing the number of shards that have not answered
 * @param notSent the numbers of the shards for which no leaf was sent the query
 * @param unusedAttempts the numbers of other shards, once for each attempt that belongs to this host and was not used
 * @param records the greatest records of these parts, in descending order
 */
public record MergedAnswer(
        ImmutableList<Integer> shards,
        ImmutableList<String> signatures,
        int missing,
        ImmutableList<Integer> notSent,
        ImmutableList<Integer> unusedAttempts,
        ByteString records) {}
