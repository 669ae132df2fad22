package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.ServedVersion;

/**
 * A reply as it arrived, not yet checked.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param replyTo the call that the upstream says it answers
 * @param served the index version, shard and number of shards that the upstream states
 * @param declaredLengthBytes the length of the payload that the upstream states
 * @param declaredChecksum the CRC-32C of the payload that the upstream states
 * @param payload what arrived of the payload
 */
public record LeafReply(
        String replyTo, ServedVersion served, long declaredLengthBytes, int declaredChecksum, ByteString payload) {}
