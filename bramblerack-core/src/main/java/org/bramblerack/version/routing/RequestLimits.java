package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * What a caller may send, and how long it may take or rest.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param maxHeaderBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headerTimeout how long a head may take to arrive
 * @param idleTimeout how long a connection may rest between requests
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** What holds until a configuration says otherwise. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16 * 1024, 256 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** What operators may send, whose documents grow with the routes. */
    public static final RequestLimits FOR_OPERATORS =
            new RequestLimits(16 * 1024, 8 * 1024 * 1024, Duration.ofSeconds(10), Duration.ofSeconds(60));

    /** Refuses limits under which no request could be sent. */
    public RequestLimits {
        checkArgument(maxHeaderBytes > 0, "heads of %s bytes allow no request; allow more", maxHeaderBytes);
        checkArgument(maxBodyBytes >= 0, "bodies of %s bytes cannot be; allow 0 at least", maxBodyBytes);
        checkArgument(!headerTimeout.isNegative(), "the time %s for a head is negative", headerTimeout);
        checkArgument(!idleTimeout.isNegative(), "the idle time %s is negative", idleTimeout);
    }
}
