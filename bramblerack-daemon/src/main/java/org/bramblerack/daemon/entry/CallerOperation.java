package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;

/**
 * A once-only request as a caller asked it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param requestId the caller's identifier; the same for every resend
 * @param service the service that runs it
 * @param operation the name of the operation
 * @param deadline the time that the caller gives, if it states one
 * @param issuedAtMillis when the caller first issued it, in milliseconds since 1970; 0 if it does not say
 * @param body what to hand to the upstream
 */
public record CallerOperation(
        RequestId requestId,
        ServiceName service,
        String operation,
        Optional<Duration> deadline,
        long issuedAtMillis,
        ByteString body) {}
