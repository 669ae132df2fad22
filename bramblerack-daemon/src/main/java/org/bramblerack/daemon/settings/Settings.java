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
 * @param region the region it stands in
 * @param zone its availability zone
 * @param roles what it does
 * @param callerAddress where it listens for callers and operators
 * @param peerAddress where it listens for other hosts
 * @param dataFolder where it keeps its files; present if it has the control role
 * @param hosts every host of the system, this one included
 * @param credentialDigests the SHA-256 of each partner's credential, in hexadecimal, by partner
 * @param platform where the platform's list is read
 * @param workers how many threads decide
 * @param maxQueries how many queries may be in flight at once
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

    /** Returns true if the process has a role. */
    public boolean hasRole(Role role) {
        return roles.contains(role);
    }

    /**
     * Returns the folder of the control role's files.
     *
     * @throws IllegalStateException if the process has no data folder
     */
    public Path controlFolder() {
        return dataFolder()
                .orElseThrow(() -> new IllegalStateException(host + " has no data folder"))
                .resolve("control");
    }

    /** Returns the names of the hosts that take part in the agreement. */
    public ImmutableSortedSet<String> voters() {
        return hosts.stream()
                .filter(HostEntry::control)
                .map(HostEntry::name)
                .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
    }

    /** Returns the names of all hosts of an availability zone, live or not. */
    public ImmutableList<String> hostsInZone(String hostZone) {
        return hosts.stream()
                .filter(entry -> entry.zone().equals(hostZone))
                .map(HostEntry::name)
                .collect(ImmutableList.toImmutableList());
    }
}
