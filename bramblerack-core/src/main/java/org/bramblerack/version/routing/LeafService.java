package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * A service that requests may be sent to.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name its name
 * @param healthPath the path at which its leafs answer for their health
 * @param maxConnections how many connections one leaf accepts from all hosts together
 * @param coldDuration how long a leaf stays cold after a start
 * @param coldRequestsPerSecond how many requests a second a cold leaf is made for; 0 if as many as a warm one
 */
public record LeafService(
        String name, String healthPath, int maxConnections, Duration coldDuration, double coldRequestsPerSecond) {
    /** Refuses a service that accepts no connection. */
    public LeafService {
        checkArgument(maxConnections > 0, "service %s accepts %s connections; allow 1 at least", name, maxConnections);
    }

    /** Creates a service whose cold leafs bear as much as warm ones. */
    public LeafService(String name, String healthPath, int maxConnections) {
        this(name, healthPath, maxConnections, Duration.ZERO, 0);
    }
}
