package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits on the size of callers' requests and on the time that a caller may take to send them.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param maxHeaderBytes the maximum size of a request's header section
 * @param maxBodyBytes the maximum size of a request's body
 * @param headerTimeout how long the header section may take to arrive
 * @param idleTimeout how long a connection may be idle between requests
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** The limits until a configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 256 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** The limits of operators' requests, which carry whole configurations. */
    public static final RequestLimits FOR_OPERATORS =
            new RequestLimits(16 * 1024, 8 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(60));

    /** Rejects limits that allow no request, and negative times. */
    public RequestLimits {
        checkArgument(maxHeaderBytes > 0, "heads of %s bytes allow no request; allow more", maxHeaderBytes);
        checkArgument(maxBodyBytes >= 0, "bodies of %s bytes cannot be; allow 0 at least", maxBodyBytes);
        checkArgument(!headerTimeout.isNegative(), "the time %s for a head is negative", headerTimeout);
        checkArgument(!idleTimeout.isNegative(), "the idle time %s is negative", idleTimeout);
    }
}
