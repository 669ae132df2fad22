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
 * @param peerAddress the address for other hosts, which is also the name of an initial voter
 * @param controlAddress the address for leaves and operators
 * @param seeds the peer addresses of the control hosts that are configured
 * @param firstStart true if the cluster starts for the first time, with the seeds as initial voters
 * @param tolerableFailures how many control hosts may fail at the same time
 * @param dataFolder the folder of its files
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
    /** Validates that there is at least one seed. */
    public ControlSettings {
        checkArgument(!seeds.isEmpty(), "the settings name no seed; name at least one control host");
    }
}
