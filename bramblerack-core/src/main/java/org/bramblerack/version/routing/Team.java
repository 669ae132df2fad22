package org.bramblerack.version.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableSet;
import java.util.OptionalInt;

/**
 * A team (tenant), whose callers authenticate with one of its keys.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the name, which is sent to leaves
 * @param keys the digests of its keys; a team without keys cannot make requests
 * @param priority the priority, which overrides that of a route; 0 is the highest; empty if the route's applies
 * @param limit the rate limit over all hosts together
 * @param homes the regions that may serve its requests
 */
public record Team(
        String name, ImmutableSet<KeyDigest> keys, OptionalInt priority, RateLimit limit, HomeRegions homes) {
    /** Rejects a team without a name. */
    public Team {
        checkArgument(!name.isEmpty(), "a team has no name; give it one");
        requireNonNull(keys);
        requireNonNull(limit);
        requireNonNull(homes);
    }
}
