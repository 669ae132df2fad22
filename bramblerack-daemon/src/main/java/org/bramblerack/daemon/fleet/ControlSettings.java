package org.bramblerack.daemon.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSortedSet;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;

/**
 * The settings of the control role.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the host's name
 * @param zone its availability zone
 * @param region its region
 * @param peerAddress where other hosts reach it; the voter's name as well
 * @param controlAddress where leafs and operators reach it
 * @param seeds the peer addresses of the control hosts that are known beforehand
 * @param firstStart true if the whole system starts for the first time, so that the seeds are the first voters
 * @param tolerableFailures how many control hosts may be lost at once
 * @param dataFolder where its files are
 */
public record ControlSettings(
        String name,
        String zone,
        String region,
        HostAndPort peerAddress,
        HostAndPort controlAddress,
        ImmutableSortedSet<String> seeds,
        boolean firstStart,
        int tolerableFailures,
        Path dataFolder) {
    /** Refuses settings without a seed. */
    public ControlSettings {
        checkArgument(!seeds.isEmpty(), "no control host is named; name one at least");
    }
}
