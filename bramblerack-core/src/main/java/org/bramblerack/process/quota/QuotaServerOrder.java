package org.bramblerack.process.quota;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Which host keeps account of a team's limit, by the agreed tables, and which ones stand in for it.
 *
 * <p>A host that comes or goes moves only the teams that it takes or had. All teams of one host have the same
 * stand-ins, so that a host which fails is missed once and not for each team. Not safe for use by several threads,
 * since what was worked out is remembered.
 */
final class QuotaServerOrder {
    private static final int BACKUPS = 2;

    private final ImmutableList<String> hosts;
    private final Map<String, ImmutableList<String>> serversByOwner = new HashMap<>();

    QuotaServerOrder(Collection<String> hosts) {
        this.hosts = ImmutableList.sortedCopyOf(hosts);
    }

    /** Returns the hosts in an order that is the same everywhere. */
    ImmutableList<String> hosts() {
        return hosts;
    }

    /** Returns the host that is to keep account of a team; empty if there is none. */
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

    /** Returns the host that is to keep account, then those that stand in for it. */
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
