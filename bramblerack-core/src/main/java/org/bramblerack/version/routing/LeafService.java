package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A service that requests are routed to.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name that routes refer to
 * @param healthPath the path of the health check of its leaves
 * @param maxConnections how many connections one leaf accepts from all hosts together
 * @param coldDuration how long a leaf counts as cold after its start
 * @param coldRequestsPerSecond the request rate that a cold leaf can serve; 0 if it can serve as many as a warm one
 */
public record LeafService(
        String name, String healthPath, int maxConnections, Duration coldDuration, double coldRequestsPerSecond) {
    /** Rejects a service that accepts no connection. */
    public LeafService {
        checkArgument(maxConnections > 0, "service %s accepts %s connections; allow 1 at least", name, maxConnections);
    }

    /** Creates a service whose leaves need no warm-up. */
    public LeafService(String name, String healthPath, int maxConnections) {
        this(name, healthPath, maxConnections, Duration.ZERO, 0);
    }
}
