package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;

/**
 * A query of a caller.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId the caller's identifier
 * @param service the service to query
 * @param requestClass the name of the request class
 * @param deadline the caller's time limit, if it states one
 * @param body the bytes to send to every shard
 */
public record CallerQuery(
        RequestId requestId, ServiceName service, String requestClass, Optional<Duration> deadline, ByteString body) {}
