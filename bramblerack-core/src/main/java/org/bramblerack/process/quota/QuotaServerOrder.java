package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Assigns each team to the host that owns its quota, and each owner to its backups, by a rendezvous hash.
 *
 * <p>A host that joins or leaves moves only its own teams. All teams of one owner have the same backups, so that its
 * failure is detected once and not for each team. Not safe for use by several threads, since results are cached.
 */
final class QuotaServerOrder {
    private static final int BACKUPS = 2;

    private final ImmutableList<String> hosts;
    private final Map<String, ImmutableList<String>> serversByOwner = new HashMap<>();

    QuotaServerOrder(Collection<String> hosts) {
        this.hosts = ImmutableList.sortedCopyOf(hosts);
    }

    /** Returns the hosts, sorted, so that their positions are the same on every host. */
    ImmutableList<String> hosts() {
        return hosts;
    }

    /** Returns the host that owns a team's quota, or an empty string if there are no hosts. */
    String ownerOf(String team) {
        String owner = "";
        long maxWeight = Long.MIN_VALUE;
        for (String host : hosts) {
            long weight = weight(team, host);
            if (owner.isEmpty() || weight > maxWeight || (weight == maxWeight && host.compareTo(owner) < 0)) {
                owner = host;
                maxWeight = weight;
            }
        }
        return owner;
    }

    /** Returns the owner, followed by its backups. */
    ImmutableList<String> servers(String owner) {
        return serversByOwner.computeIfAbsent(owner, this::computeServers);
    }

    private ImmutableList<String> computeServers(String owner) {
        ImmutableList.Builder<String> servers = ImmutableList.<String>builder().add(owner);
        hosts.stream()
                .filter(host -> !host.equals(owner))
                .sorted((one, other) -> {
                    int byWeight = Long.compare(weight(owner, other), weight(owner, one));
                    return byWeight != 0 ? byWeight : one.compareTo(other);
                })
                .limit(BACKUPS)
                .forEach(servers::add);
        return servers.build();
    }

    private static long weight(String key, String host) {
        return Hashing.murmur3_128()
                .hashString(key + "|" + host, StandardCharsets.UTF_8)
                .asLong();
    }
}
