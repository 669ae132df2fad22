package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.version.routing.Route;

/**
 * A request that has found its route.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param route the route
 * @param configurationVersion the version of the configuration that the route is of
 * @param request the request as leafs get it
 * @param arrivedNanos when it came to this host
 * @param times its times on this host's clock
 */
record RoutedCall(Route route, long configurationVersion, LeafRequest request, long arrivedNanos, RequestTimes times) {}
