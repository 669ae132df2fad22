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
 * Which hosts hold the connections to the shards of one availability zone.
 *
 * <p>A fleet with more hosts than a leaf takes connections cannot connect every host to every leaf. So each shard of a
 * zone is given to one of a few hosts, and all other hosts reach its leaf through that one. The hosts and the shards
 * are the same agreed input everywhere, so every host computes the same holders; one whose tables lag only takes a
 * detour.
 *
 * <p>Invariants: no holder has more than its even part of the shards, rounded up; a host that comes or goes moves only
 * the shards that it takes or held, and those that the even parts then push on. Immutable and safe for use by many
 * threads.
 */
public final class ZoneHolders {
    /**
     * How many shards a holder asks for one query: at some 0.2 ms of processor time a leaf call, a dozen keep a host
     * with a third of a core busy for 7 ms, which a goal of 80 ms leaves room for.
     */
    static final int SHARDS_PER_HOLDER = 12;

    /** With one holder alone, its loss would take the whole zone's shards at once. */
    static final int MIN_HOLDERS = 2;

    /** How many hosts are named for a shard: the holder, and two that stand in for it. */
    static final int HOSTS_PER_SHARD = 3;

    private final ImmutableMap<String, ImmutableList<String>> hostsByService;

    private ZoneHolders(ImmutableMap<String, ImmutableList<String>> hostsByService) {
        this.hostsByService = hostsByService;
    }

    /**
     * Computes the holders of a zone.
     *
     * @param hosts the names of the hosts that may hold connections there, live by the agreed tables
     * @param services the shards that have a leaf in the zone
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

    /** Returns the holder of a shard, then the hosts that stand in for it; empty if there is none. */
    public ImmutableList<String> of(String service) {
        return hostsByService.getOrDefault(requireNonNull(service), ImmutableList.of());
    }

    /** Returns the hosts that hold any shard or stand in for one that does. */
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
     * Orders hosts by a rendezvous hash, so that a host that leaves changes nothing about the order of the others.
     *
     * <p>Each weight is worked out once: a comparator that hashes would do so for every comparison.
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
