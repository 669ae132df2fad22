package org.bramblerack.daemon.gateway;

import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.version.routing.Route;

/**
 * A request that has found its route.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param route the route
 * @param request the request as leafs get it
 * @param times its times on this host's clock
 */
record RoutedCall(Route route, LeafRequest request, RequestTimes times) {}
