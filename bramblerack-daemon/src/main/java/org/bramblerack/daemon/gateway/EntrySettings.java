package org.bramblerack.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import java.time.Duration;
import java.util.Optional;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.leaf.ColdRequestLimit;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.process.quota.QuotaBound;

/**
 * The settings of the entry role.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the host's name
 * @param location the host's availability zone and region
 * @param callerAddress the address on which callers connect
 * @param peerAddress the address on which other hosts connect
 * @param seeds the peer addresses of the initially known control hosts
 * @param budget the budget of all hosts together for extra attempts at a service
 * @param coldRequestLimit how far all hosts together may exceed the rate limits of cold leaves
 * @param quota how far all hosts together may exceed the rate limits of teams; empty if these are not enforced
 * @param routing the routing features in use
 * @param stopLimit the maximum duration of a planned stop
 */
public record EntrySettings(
        String name,
        HostLocation location,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        ImmutableList<String> seeds,
        FleetBudget budget,
        ColdRequestLimit coldRequestLimit,
        Optional<QuotaBound> quota,
        RoutingPolicy routing,
        Duration stopLimit) {
    /** Rejects settings without a seed. */
    public EntrySettings {
        checkArgument(!seeds.isEmpty(), "no seeds are set; name at least one control host");
    }
}
