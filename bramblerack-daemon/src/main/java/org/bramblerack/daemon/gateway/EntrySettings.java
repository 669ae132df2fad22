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
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the host's name
 * @param location where it is
 * @param callerAddress where callers reach it
 * @param peerAddress where other hosts reach it
 * @param seeds the peer addresses of control hosts that are known beforehand
 * @param budget what all hosts may spend on extra attempts at a service
 * @param coldRequestLimit by how much all hosts together may go over what cold leafs are made for
 * @param quota by how much all hosts together may go beyond the limits of teams; empty if these are not kept
 * @param routing which mechanisms take part in routing
 * @param stopLimit how long a planned stop may take
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
    /** Refuses settings without a control host to ask. */
    public EntrySettings {
        checkArgument(!seeds.isEmpty(), "no control host is named; name one at least");
    }
}
