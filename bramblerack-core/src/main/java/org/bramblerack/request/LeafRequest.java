package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.Priority;
import org.bramblerack.version.UpstreamName;

/**
 * A call on one upstream, as it travels from the host that received the request to the one that holds the connections.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param callId the identifier that the upstream must give back
 * @param requestId the caller's identifier of the request
 * @param upstream the upstream to ask
 * @param shard the shard to ask for
 * @param indexVersion the index version to ask for; 0 for an operation
 * @param priority how much the call matters
 * @param deadlineNanos when the reply is of no use any more, by this process's clock
 * @param operation the once-only operation, empty for a query
 * @param body the caller's body
 */
public record LeafRequest(
        String callId,
        String requestId,
        UpstreamName upstream,
        int shard,
        long indexVersion,
        Priority priority,
        long deadlineNanos,
        String operation,
        ByteString body) {}
