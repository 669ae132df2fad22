package org.bramblerack.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.net.HostAndPort;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Optional;

/**
 * The settings of one process.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param host this host's name
 * @param region this host's region
 * @param zone this host's availability zone
 * @param roles the roles of the process
 * @param callerAddress the address on which it listens for callers and operators
 * @param peerAddress the address on which it listens for other hosts
 * @param dataFolder the folder of its persistent files; present if it has the control role
 * @param hosts all hosts of the system, including this one
 * @param credentialDigests the SHA-256 digest of each partner's credential, in hexadecimal, keyed by partner
 * @param platform the source of the platform's host list
 * @param workers the number of worker threads
 * @param maxQueries the maximum number of queries in flight
 */
public record Settings(
        String host,
        String region,
        String zone,
        ImmutableSet<Role> roles,
        HostAndPort callerAddress,
        HostAndPort peerAddress,
        Optional<Path> dataFolder,
        ImmutableList<HostEntry> hosts,
        ImmutableMap<String, String> credentialDigests,
        PlatformSource platform,
        int workers,
        int maxQueries) {

    /** Returns true if the process has the given role. */
    public boolean hasRole(Role role) {
        return roles.contains(role);
    }

    /**
     * Returns the folder for the files of the control role.
     *
     * @throws IllegalStateException if the process has no data folder
     */
    public Path controlFolder() {
        return dataFolder()
                .orElseThrow(
                        () -> new IllegalStateException(host + " has no data folder; set dataFolder in its settings"))
                .resolve("control");
    }

    /** Returns the names of the voters of the agreement protocol. */
    public ImmutableSortedSet<String> voters() {
        return hosts.stream()
                .filter(HostEntry::control)
                .map(HostEntry::name)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the names of all configured hosts of an availability zone, whether or not they are live. */
    public ImmutableList<String> hostsInZone(String hostZone) {
        return hosts.stream()
                .filter(entry -> entry.zone().equals(hostZone))
                .map(HostEntry::name)
                .collect(ImmutableList.toImmutableList());
    }
}
