package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the routing configuration: routes, services, limits and teams.
 *
 * <p>Invariants: every service of a route is defined, and no two routes have the same host and prefix. Immutable and
 * safe for use by many threads.
 */
public final class RoutingConfiguration {
    /** The configuration of a host that has received none yet; it has no routes. */
    public static final RoutingConfiguration NONE =
            new RoutingConfiguration(0, ImmutableList.of(), ImmutableMap.of(), RequestLimits.DEFAULT, Teams.NONE);

    private final long version;
    private final ImmutableList<Route> routes;
    private final ImmutableMap<String, LeafService> services;
    private final RequestLimits limits;
    private final Teams teams;
    private final Map<String, Map<String, Route>> routesByHostAndPrefix = new HashMap<>();
    private final Map<String, Route> routesByName = new HashMap<>();

    private RoutingConfiguration(
            long version,
            ImmutableList<Route> routes,
            ImmutableMap<String, LeafService> services,
            RequestLimits limits,
            Teams teams) {
        this.version = version;
        this.routes = routes;
        this.services = services;
        this.limits = limits;
        this.teams = teams;
        for (Route route : routes) {
            index(route);
        }
    }

    /**
     * Creates a configuration without teams.
     *
     * @throws IllegalArgumentException if routes are inconsistent with each other or with the services
     */
    public static RoutingConfiguration create(
            long version,
            ImmutableList<Route> routes,
            ImmutableMap<String, LeafService> services,
            RequestLimits limits) {
        return create(version, routes, services, limits, Teams.NONE);
    }

    /**
     * Creates a configuration.
     *
     * @throws IllegalArgumentException if routes are inconsistent with each other or with the services
     */
    public static RoutingConfiguration create(
            long version,
            ImmutableList<Route> routes,
            ImmutableMap<String, LeafService> services,
            RequestLimits limits,
            Teams teams) {
        checkArgument(version > 0, "the version %s is not above 0", version);
        return new RoutingConfiguration(version, routes, services, limits, teams);
    }

    /** Returns the version; 0 if no configuration has been received. */
    public long version() {
        return version;
    }

    /** Returns all routes, in the order of the configuration. */
    public ImmutableList<Route> routes() {
        return routes;
    }

    /** Returns the services by name. */
    public ImmutableMap<String, LeafService> services() {
        return services;
    }

    /** Returns the limits on callers' requests. */
    public RequestLimits limits() {
        return limits;
    }

    /** Returns the teams, whose callers authenticate by key. */
    public Teams teams() {
        return teams;
    }

    /** Returns the route of the host with the longest prefix of the path, or empty if no route matches. */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = routesByHostAndPrefix.get(normalize(host));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int end = path.lastIndexOf('/');
        while (end >= 0) {
            Route route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            end = end == 0 ? -1 : path.lastIndexOf('/', end - 1);
        }
        return Optional.empty();
    }

    /** Returns the route with the given name, if it exists. */
    public Optional<Route> routeNamed(String name) {
        return Optional.ofNullable(routesByName.get(name));
    }

    private void index(Route route) {
        for (String service : route.target().services()) {
            checkArgument(
                    services.containsKey(service),
                    "route %s names the service %s, which is not among the services; add it there",
                    route.name(),
                    service);
        }
        Route earlier = routesByHostAndPrefix
                .computeIfAbsent(normalize(route.host()), unused -> new HashMap<>())
                .put(route.prefix(), route);
        checkArgument(
                earlier == null,
                "the routes %s and %s both take %s%s; remove one",
                earlier == null ? "" : earlier.name(),
                route.name(),
                route.host(),
                route.prefix());
        routesByName.put(route.name(), route);
    }

    private static String normalize(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
