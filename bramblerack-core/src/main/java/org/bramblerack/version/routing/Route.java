package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * One route of the configuration.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name what operators call it
 * @param host the host name of the requests that it takes
 * @param prefix what the path of such a request begins with; begins and ends with a slash
 * @param kind whether its requests may run more than once
 * @param timeout how long a request is held at most
 * @param goal within which an answer is worth most; zero if the operator names none
 * @param priority its rank; 0 is the highest
 * @param maxAttempts how many leafs a request may be sent to, for a fan-out at each shard
 * @param target where its requests go
 * @param homeRegions the regions that may serve its requests
 * @param isPublic true if its callers need no key although the configuration has teams
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration goal,
        int priority,
        int maxAttempts,
        RouteTarget target,
        HomeRegions homeRegions,
        boolean isPublic) {
    /** Refuses what no request could be served by. */
    public Route {
        requireNonNull(kind);
        requireNonNull(target);
        requireNonNull(homeRegions);
        checkArgument(
                prefix.startsWith("/") && prefix.endsWith("/"),
                "the prefix %s of route %s does not begin and end with a slash",
                prefix,
                name);
        checkArgument(
                !timeout.isZero() && !timeout.isNegative(), "route %s has the time-out %s; give more", name, timeout);
        checkArgument(maxAttempts >= 1, "route %s allows %s attempts; allow 1 at least", name, maxAttempts);
    }

    /** Creates a route whose callers need a key if the configuration has teams. */
    public Route(
            String name,
            String host,
            String prefix,
            RequestKind kind,
            Duration timeout,
            Duration goal,
            int priority,
            int maxAttempts,
            RouteTarget target,
            HomeRegions homes) {
        this(name, host, prefix, kind, timeout, goal, priority, maxAttempts, target, homes, false);
    }

    /** Creates a route whose requests every region may serve. */
    public Route(
            String name,
            String host,
            String prefix,
            RequestKind kind,
            Duration timeout,
            Duration goal,
            int priority,
            int maxAttempts,
            RouteTarget target) {
        this(name, host, prefix, kind, timeout, goal, priority, maxAttempts, target, HomeRegions.ANY);
    }
}
