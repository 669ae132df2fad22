package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A team whose callers show its keys.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name its name, which leafs are told
 * @param keys the digests of its keys; a team without any cannot make requests
 * @param priority its rank, which goes before that of a route; 0 is the highest, empty leaves it to the route
 * @param limit how many requests it may make
 * @param homeRegions the regions that may serve its requests
 */
public record Team(
        String name, ImmutableSet<KeyDigest> keys, OptionalInt priority, RateLimit limit, HomeRegions homeRegions) {
    /** Refuses a team without a name. */
    public Team {
        checkArgument(!name.isEmpty(), "a team has no name; give it one");
        requireNonNull(keys);
        requireNonNull(limit);
        requireNonNull(homeRegions);
    }
}
