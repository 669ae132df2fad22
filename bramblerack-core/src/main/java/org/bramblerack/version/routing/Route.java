package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A route of the routing configuration: which requests it matches, and how they are served.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name in the configuration
 * @param host the host name of the requests that it matches
 * @param prefix the path prefix of the requests that it matches; begins and ends with a slash
 * @param kind whether its requests may run more than once
 * @param timeout the time after which a request without an answer fails
 * @param goal the latency goal (soft deadline); zero if none is configured
 * @param priority the priority; 0 is the highest
 * @param maxAttempts how many leaves a request may be sent to, for a fan-out in each shard
 * @param target the service or services that its requests are sent to
 * @param homes the regions that may serve its requests
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
        HomeRegions homes,
        boolean isPublic) {
    /** Rejects a malformed prefix, a time-out that is not positive, and less than one attempt. */
    public Route {
        requireNonNull(kind);
        requireNonNull(target);
        requireNonNull(homes);
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

    /** Creates a route whose requests may be served in every region. */
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
