package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * What each upstream of a service can bear, and what the tier may add.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param slots how many requests an upstream works on at a time
 * @param connections how many connections an upstream accepts in all, from every host together
 * @param connectionLinger how long an upstream may still count a connection of a host that vanished
 * @param extraLoadPercent how many retries and hedges may be added to 100 first attempts
 */
public record UpstreamLimits(int slots, int connections, Duration connectionLinger, int extraLoadPercent) {
    /** Refuses limits that are not positive. */
    public UpstreamLimits {
        checkArgument(slots > 0, "slots %s is not positive", slots);
        checkArgument(connections > 0, "connections %s is not positive", connections);
        checkArgument(!connectionLinger.isNegative(), "connection linger %s is negative", connectionLinger);
        checkArgument(extraLoadPercent >= 0, "extra load %s is negative", extraLoadPercent);
    }
}
