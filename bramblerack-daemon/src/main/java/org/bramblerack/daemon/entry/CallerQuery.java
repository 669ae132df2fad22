package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;

/**
 * A query as a caller asked it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId the caller's identifier
 * @param service the service to query
 * @param requestClass the name of the class
 * @param deadline the time that the caller gives, if it states one
 * @param body what to hand to every shard
 */
public record CallerQuery(
        RequestId requestId, ServiceName service, String requestClass, Optional<Duration> deadline, ByteString body) {}
