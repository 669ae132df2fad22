package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;

/**
 * A declared upstream: one replica of one shard, or one member of a pool (shard 0).
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the full name
 * @param shard the shard that it is declared to serve, counted from 0
 * @param zone the availability zone that it stands in
 * @param address where it listens
 * @param leaving true if the declaration says that it is leaving: it gets no new work
 */
public record Upstream(UpstreamName name, int shard, String zone, HostAndPort address, boolean leaving) {
    /** Refuses a negative shard. */
    public Upstream {
        checkArgument(shard >= 0, "shard %s is negative", shard);
    }
}
