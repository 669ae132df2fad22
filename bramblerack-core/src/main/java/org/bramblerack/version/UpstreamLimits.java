package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * The capacity of each upstream of a service, and the extra load that the tier may add.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param slots how many requests an upstream works on at a time
 * @param connections how many connections an upstream accepts from all hosts together
 * @param connectionLinger how long an upstream may still count a connection of a host that crashed
 * @param extraLoadPercent the maximum number of retries and hedges for 100 first attempts
 */
public record UpstreamLimits(int slots, int connections, Duration connectionLinger, int extraLoadPercent) {
    /** Rejects slots and connections that are not positive, and negative values of the rest. */
    public UpstreamLimits {
        checkArgument(slots > 0, "slots %s is not positive", slots);
        checkArgument(connections > 0, "connections %s is not positive", connections);
        checkArgument(!connectionLinger.isNegative(), "connection linger %s is negative", connectionLinger);
        checkArgument(extraLoadPercent >= 0, "extra load %s is negative", extraLoadPercent);
    }
}
