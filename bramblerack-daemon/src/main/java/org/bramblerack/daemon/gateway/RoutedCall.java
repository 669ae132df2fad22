package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.Route;

/**
 * A request that has found its route.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param route the route
 * @param caller in whose name it is made
 * @param configurationVersion the version of the configuration that the route is of
 * @param request the request as leafs get it
 * @param arrivedNanos when it came to this host
 * @param times its times on this host's clock
 */
record RoutedCall(
        Route route,
        CallerIdentity caller,
        long configurationVersion,
        LeafRequest request,
        long arrivedNanos,
        RequestTimes times) {
    /** Returns the regions that may serve it. */
    HomeRegions homeRegions() {
        return caller.homeRegions(route);
    }

    /** Returns its rank; 0 is the highest. */
    int priority() {
        return caller.priority(route);
    }
}
