package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.Route;

/**
 * A request with its route and caller.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param route the route
 * @param caller the identity in whose name the request is made
 * @param configurationVersion the version of the configuration that the route belongs to
 * @param request the request as it is sent to leaves
 * @param arrivedNanos when the request arrived at this host
 * @param times the deadlines of the request
 */
record RoutedCall(
        Route route,
        CallerIdentity caller,
        long configurationVersion,
        LeafRequest request,
        long arrivedNanos,
        RequestTimes times) {
    /** Returns the regions that may serve the request. */
    HomeRegions homes() {
        return caller.homes(route);
    }

    /** Returns the priority of the request; 0 is the highest. */
    int priority() {
        return caller.priority(route);
    }
}
