package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.HostAndPort;

/**
 * A declared upstream: one replica of one shard, or one member of a pool (shard 0).
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the full name, with the service
 * @param shard the shard that it is declared to serve, counted from 0
 * @param zone its availability zone
 * @param address the address that it listens on
 * @param leaving true if it is declared as leaving, so that it gets no new work
 */
public record Upstream(UpstreamName name, int shard, String zone, HostAndPort address, boolean leaving) {
    /** Rejects a negative shard. */
    public Upstream {
        checkArgument(shard >= 0, "shard %s is negative", shard);
    }
}
