package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.ServedVersion;

/**
 * A reply of an upstream as received; see {@link CheckedReply#check}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replyTo the call identifier stated in the reply
 * @param served the index version, shard and shard count stated in the reply
 * @param declaredLengthBytes the payload length stated in the reply
 * @param declaredChecksum the CRC-32C of the payload stated in the reply
 * @param payload the payload as received, possibly truncated
 */
public record LeafReply(
        String replyTo, ServedVersion served, long declaredLengthBytes, int declaredChecksum, ByteString payload) {}
