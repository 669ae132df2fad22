package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.Priority;
import org.bramblerack.version.UpstreamName;

/**
 * A call to one upstream, sent by the host that received the request to the host that holds the connections.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callId the identifier that the upstream must return with its reply
 * @param requestId the caller's identifier of the request
 * @param upstream the upstream to call
 * @param shard the requested shard
 * @param indexVersion the requested index version; 0 for an operation
 * @param priority the priority of the call
 * @param deadlineNanos when the call expires, by this process's monotonic clock
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
