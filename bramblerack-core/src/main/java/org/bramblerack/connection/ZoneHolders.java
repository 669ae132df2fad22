package org.bramblerack.connection;

import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the hosts that hold the connections to the shards of one availability zone.
 *
 * <p>A leaf may accept fewer connections than the fleet has hosts. So each shard of a zone is assigned to one of a few
 * holders, and all other hosts reach its leaf through that holder. Every host computes the same holders from the
 * replicated tables; a host whose tables lag may forward to another holder, which costs one more hop.
 *
 * <p>Invariants: no holder has more than its even share of the shards, rounded up; a host that joins or leaves moves
 * only its own shards and those that rebalancing requires. Immutable and safe for use by many threads.
 */
public final class ZoneHolders {
    /** The target number of shards that a holder calls for one query; bounds the time that it spends on the calls. */
    static final int SHARDS_PER_HOLDER = 12;

    /** More than one, so that the loss of a holder does not affect all shards of the zone. */
    static final int MIN_HOLDERS = 2;

    /** The holder of a shard and its backups. */
    static final int HOSTS_PER_SHARD = 3;

    private final ImmutableMap<String, ImmutableList<String>> hostsByService;

    private ZoneHolders(ImmutableMap<String, ImmutableList<String>> hostsByService) {
        this.hostsByService = hostsByService;
    }

    /**
     * Computes the holders of a zone.
     *
     * @param hosts the names of the hosts that may hold connections there, live by the replicated tables
     * @param services the names of the shards that have a leaf in the zone
     */
    public static ZoneHolders compute(Collection<String> hosts, ImmutableSortedSet<String> services) {
        if (hosts.isEmpty()) {
            return new ZoneHolders(ImmutableMap.of());
        }
        int count = Math.min(hosts.size(), Math.max(MIN_HOLDERS, ceilDivide(services.size(), SHARDS_PER_HOLDER)));
        ImmutableList<String> holders = rank("", hosts).subList(0, count);
        int maxPerHolder = ceilDivide(services.size(), count);
        Map<String, Integer> shardsByHolder = new HashMap<>();
        ImmutableMap.Builder<String, ImmutableList<String>> byService = ImmutableMap.builder();
        for (String service : services) {
            ImmutableList<String> order = rank(service, holders);
            String holder = order.stream()
                    .filter(host -> shardsByHolder.getOrDefault(host, 0) < maxPerHolder)
                    .findFirst()
                    .orElse(order.get(0));
            shardsByHolder.merge(holder, 1, Integer::sum);
            byService.put(service, withFirst(holder, order));
        }
        return new ZoneHolders(byService.buildOrThrow());
    }

    /** Returns the holder of a shard, followed by its backups; empty if the shard has no holder. */
    public ImmutableList<String> of(String service) {
        return hostsByService.getOrDefault(requireNonNull(service), ImmutableList.of());
    }

    /** Returns the hosts that are the holder or a backup of any shard. */
    public ImmutableSet<String> hosts() {
        ImmutableSet.Builder<String> all = ImmutableSet.builder();
        hostsByService.values().forEach(all::addAll);
        return all.build();
    }

    private static ImmutableList<String> withFirst(String holder, ImmutableList<String> order) {
        ImmutableList.Builder<String> hosts = ImmutableList.<String>builder().add(holder);
        order.stream()
                .filter(host -> !host.equals(holder))
                .limit(HOSTS_PER_SHARD - 1)
                .forEach(hosts::add);
        return hosts.build();
    }

    /**
     * Orders hosts by a rendezvous hash, so that the loss of a host does not change the order of the others.
     *
     * <p>Weights are computed once for each host rather than in the comparator.
     */
    private static ImmutableList<String> rank(String key, Collection<String> hosts) {
        List<WeightedHost> weighted = new ArrayList<>(hosts.size());
        for (String host : hosts) {
            weighted.add(new WeightedHost(host, weight(key, host)));
        }
        weighted.sort(WeightedHost.ORDER);
        ImmutableList.Builder<String> order = ImmutableList.builderWithExpectedSize(weighted.size());
        for (WeightedHost each : weighted) {
            order.add(each.host());
        }
        return order.build();
    }

    private record WeightedHost(String host, long weight) {
        private static final Comparator<WeightedHost> ORDER =
                Comparator.comparingLong(WeightedHost::weight).thenComparing(WeightedHost::host);
    }

    private static long weight(String key, String host) {
        return Hashing.murmur3_128()
                .hashString(key + "|" + host, StandardCharsets.UTF_8)
                .asLong();
    }

    private static int ceilDivide(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }
}
