package org.bramblerack.daemon.holder;

import java.util.Locale;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafReply;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.Priority;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.ServiceName;
import org.bramblerack.version.UpstreamName;
import org.bramblerack.wire.LeafCall;
import org.bramblerack.wire.LeafResult;

/**
 * Converts leaf calls and their outcomes to and from messages between hosts. Deadlines are sent as the remaining time.
 *
 * <p>Stateless and safe for use by many threads.
 */
public final class LeafCodec {
    private static final long NANOS_PER_MICRO = 1_000;

    private LeafCodec() {}

    /** Encodes a call. */
    public static LeafCall toMessage(LeafRequest request, long nowNanos) {
        return LeafCall.newBuilder()
                .setCallId(request.callId())
                .setRequestId(request.requestId())
                .setService(request.upstream().service().toString())
                .setUpstream(request.upstream().upstream())
                .setShard(request.shard())
                .setIndexVersion(request.indexVersion())
                .setPriority(request.priority() == Priority.URGENT ? 1 : 0)
                .setRemainingMicros(Math.max(0, request.deadlineNanos() - nowNanos) / NANOS_PER_MICRO)
                .setOperation(request.operation())
                .setOnceOnly(!request.operation().isEmpty())
                .setBody(request.body())
                .build();
    }

    /**
     * Decodes a call.
     *
     * @throws IllegalArgumentException if the message does not name a service and an upstream
     */
    public static LeafRequest toRequest(LeafCall call, long nowNanos) {
        return new LeafRequest(
                call.getCallId(),
                call.getRequestId(),
                new UpstreamName(ServiceName.parse(call.getService()), call.getUpstream()),
                call.getShard(),
                call.getIndexVersion(),
                call.getPriority() > 0 ? Priority.URGENT : Priority.NORMAL,
                nowNanos + call.getRemainingMicros() * NANOS_PER_MICRO,
                call.getOperation(),
                call.getBody());
    }

    /** Encodes an outcome. */
    public static LeafResult toMessage(LeafOutcome outcome) {
        if (outcome instanceof LeafOutcome.Replied replied) {
            LeafReply reply = replied.reply();
            return LeafResult.newBuilder()
                    .setStatus(LeafResult.Status.REPLY)
                    .setReplyTo(reply.replyTo())
                    .setIndexVersion(reply.served().indexVersion())
                    .setShard(reply.served().shard())
                    .setShardCount(reply.served().shardCount())
                    .setDeclaredLength(reply.declaredLengthBytes())
                    .setDeclaredChecksum(reply.declaredChecksum())
                    .setPayload(reply.payload())
                    .build();
        }
        LeafFailure failure = ((LeafOutcome.Failed) outcome).failure();
        return LeafResult.newBuilder()
                .setStatus(
                        failure.isCertainlyNotRun()
                                ? LeafResult.Status.REFUSED_NOT_RUN
                                : LeafResult.Status.FAILED_MAY_HAVE_RUN)
                .setFailure(failure.name())
                .build();
    }

    /** Decodes an outcome; a malformed message is decoded as a failure of a call that may have run. */
    public static LeafOutcome toOutcome(LeafResult result) {
        try {
            if (result.getStatus() == LeafResult.Status.REPLY) {
                return new LeafOutcome.Replied(new LeafReply(
                        result.getReplyTo(),
                        new ServedVersion(result.getIndexVersion(), result.getShard(), result.getShardCount()),
                        result.getDeclaredLength(),
                        result.getDeclaredChecksum(),
                        result.getPayload()));
            }
            return new LeafOutcome.Failed(
                    LeafFailure.valueOf(result.getFailure().toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException malformed) {
            return new LeafOutcome.Failed(LeafFailure.HOLDER_LOST);
        }
    }
}
