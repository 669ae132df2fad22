package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;

/**
 * A once-only request of a caller.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId the caller's identifier; the same for every resend
 * @param service the service that runs the operation
 * @param operation the name of the operation
 * @param deadline the caller's time limit, if it states one
 * @param issuedAtMillis when the caller first issued the request, in milliseconds since 1970; 0 if it is not stated
 * @param body the bytes to send to the upstream
 */
public record CallerOperation(
        RequestId requestId,
        ServiceName service,
        String operation,
        Optional<Duration> deadline,
        long issuedAtMillis,
        ByteString body) {}
