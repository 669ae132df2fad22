package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A service that requests may be sent to.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name its name
 * @param healthPath the path at which its leafs answer for their health
 * @param maxConnections how many connections one leaf accepts from all hosts together
 */
public record LeafService(String name, String healthPath, int maxConnections) {
    /** Refuses a service that accepts no connection. */
    public LeafService {
        checkArgument(maxConnections > 0, "service %s accepts %s connections; allow 1 at least", name, maxConnections);
    }
}
