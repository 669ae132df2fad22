package org.bramblerack.request;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.util.zip.CRC32C;

/**
 * A reply that is complete, of the expected index version, and an answer to the expected call.
 *
 * <p>Invariant: an instance exists only for a reply that passed {@link #check}; an {@link Answer} contains no other
 * replies. Immutable and thread-safe.
 */
public final class CheckedReply {
    private final long indexVersion;
    private final int shard;
    private final int shardCount;
    private final ByteString payload;

    private CheckedReply(LeafReply reply) {
        this.indexVersion = reply.served().indexVersion();
        this.shard = reply.served().shard();
        this.shardCount = reply.served().shardCount();
        this.payload = reply.payload();
    }

    /**
     * Checks a reply against the call that it should answer.
     *
     * @param reply the reply as received
     * @param callId the identifier sent with the call
     * @param indexVersion the pinned index version
     * @param shard the shard of the call
     * @param shardCount the number of shards of the pinned index version
     * @return the checked reply, or the reason for its rejection
     */
    public static Either<LeafFailure, CheckedReply> check(
            LeafReply reply, String callId, long indexVersion, int shard, int shardCount) {
        if (!reply.replyTo().equals(callId) || reply.served().shard() != shard) {
            return Either.left(LeafFailure.MISDIRECTED);
        }
        if (reply.served().indexVersion() != indexVersion || reply.served().shardCount() != shardCount) {
            return Either.left(LeafFailure.WRONG_VERSION);
        }
        if (reply.declaredLengthBytes() != reply.payload().size()
                || reply.declaredChecksum() != checksum(reply.payload())) {
            return Either.left(LeafFailure.TRUNCATED);
        }
        return Either.right(new CheckedReply(reply));
    }

    /** Returns the CRC-32C of a payload. */
    public static int checksum(ByteString payload) {
        CRC32C checksum = new CRC32C();
        for (java.nio.ByteBuffer part : payload.asReadOnlyByteBufferList()) {
            checksum.update(part);
        }
        return (int) checksum.getValue();
    }

    public long indexVersion() {
        return indexVersion;
    }

    public int shard() {
        return shard;
    }

    public int shardCount() {
        return shardCount;
    }

    public ByteString payload() {
        return payload;
    }
}
