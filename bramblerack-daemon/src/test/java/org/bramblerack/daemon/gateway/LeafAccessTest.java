package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Range;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bramblerack.process.WarmUpPlan;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.junit.jupiter.api.Test;

/** Tests that hosts together stay within the connections that a leaf accepts, and that every shard is reachable. */
final class LeafAccessTest {
    private static final int SHARDS = 30;
    private static final int ZONES = 6;
    private static final ImmutableMap<String, String> REGIONS =
            ImmutableMap.of("z0", "r0", "z1", "r1", "z2", "r2", "z3", "r0", "z4", "r1", "z5", "r2");

    @Test
    void aSmallFleetConnectsToEveryLeaf() {
        LeafAccess access = access(hosts(7), 26, "10.0.0.0:1", "z0");
        assertThat(access.isAnyHeld()).isFalse();
        assertThat(access.holdersOf("s0", "z1")).isEmpty();
        assertThat(access.connectionShare("s0", "z1")).isEqualTo(3);
    }

    @Test
    void noLeafGetsMoreConnectionsThanItAccepts() {
        for (int fleet : new int[] {3, 7, 20, 83, 300}) {
            for (int maxConnections : new int[] {26, 52, 64, 110}) {
                List<HostRecord> hosts = hosts(fleet);
                int connections = 0;
                int zoneHolders = 0;
                for (HostRecord host : hosts) {
                    LeafAccess access = access(hosts, maxConnections, host.getPeerAddress(), host.getZone());
                    boolean mayConnect = access.keepsConnections("s0", "z0") || access.isHolderOrBackup("s0", "z0");
                    connections += mayConnect ? access.connectionShare("s0", "z0") : 0;
                    zoneHolders += access.isHolderOf("s0") && host.getZone().equals("z0") ? 1 : 0;
                }
                assertThat(connections).isAtMost(maxConnections);
                assertThat(connections).isAtLeast(1);
                assertThat(zoneHolders).isEqualTo(1);
            }
        }
    }

    /** Guards against two hosts spending the allowance of one cold leaf, whatever the order of their host lists. */
    @Test
    void oneHostAloneMaySendToAColdLeaf() {
        for (int maxConnections : new int[] {26, 410}) {
            List<HostRecord> hosts = hosts(59);
            List<HostRecord> reversed = new ArrayList<>(hosts);
            Collections.reverse(reversed);
            int senders = 0;
            for (HostRecord host : hosts) {
                List<HostRecord> knownHosts = senders % 2 == 0 ? hosts : reversed;
                LeafAccess access = access(knownHosts, maxConnections, host.getPeerAddress(), host.getZone());
                senders += access.maySendToColdLeaf("s0-0", "s0", "z0") ? 1 : 0;
                senders += access.maySendToColdLeaf("single", "single", "z2") ? 1 : 0;
            }
            assertThat(senders).isEqualTo(2);
        }
    }

    @Test
    void holdersAreInTheZoneOfTheLeafWhileItHasHosts() {
        List<HostRecord> hosts = hosts(83);
        LeafAccess access = access(hosts, 64, "10.0.0.1:1", "z1");
        Map<String, String> zones = new HashMap<>();
        hosts.forEach(host -> zones.put(host.getPeerAddress(), host.getZone()));
        for (String holder : access.holdersOf("s0", "z0")) {
            assertThat(zones.get(holder)).isEqualTo("z0");
        }
        List<HostRecord> others =
                hosts.stream().filter(host -> !host.getZone().equals("z0")).toList();
        LeafAccess afterLoss = access(others, 26, "10.0.0.1:1", "z1");
        for (String holder : afterLoss.holdersOf("s0", "z0")) {
            assertThat(zones.get(holder)).isEqualTo("z3");
        }
    }

    @Test
    void aServiceOfSingleRequestsIsNotHeld() {
        LeafAccess access = access(hosts(83), 64, "10.0.0.1:1", "z1");
        assertThat(access.isHeld("single")).isFalse();
        assertThat(access.connectionShare("single", "z0")).isEqualTo(1);
    }

    /** The leaves of a new index start before the configuration that names them as shards. */
    @Test
    void onlyHoldersConnectToLeavesOfShardsThatNoRouteNames() {
        List<HostRecord> hosts = hosts(83);
        int connecting = 0;
        for (HostRecord host : hosts) {
            LeafAccess access = access(hosts, 64, host.getPeerAddress(), host.getZone());
            connecting += access.keepsConnections("to-come", "z0") ? 1 : 0;
        }
        assertThat(connecting).isEqualTo(1);
    }

    /** Operators add routes to a single shard, for example for tests. */
    @Test
    void aShardThatASingleRouteAlsoNamesIsStillHeld() {
        List<HostRecord> hosts = hosts(83);
        Route alone = route("alone", new RouteTarget.Single("s0"));
        int connecting = 0;
        for (HostRecord host : hosts) {
            LeafAccess access = access(hosts, 64, host.getPeerAddress(), host.getZone(), SHARDS, alone);
            assertThat(access.isHeld("s0")).isTrue();
            connecting += access.keepsConnections("s0", "z0") ? 1 : 0;
        }
        assertThat(connecting).isEqualTo(1);
    }

    /** Guards against a new index changing the holders of the index in use. */
    @Test
    void aNewIndexMovesNoShardOfTheIndexInUse() {
        List<HostRecord> hosts = hosts(83);
        LeafAccess before = access(hosts, 64, "10.0.0.1:1", "z1");
        LeafAccess beside = access(hosts, 64, "10.0.0.1:1", "z1", 4 * SHARDS);
        for (int shard = 0; shard < SHARDS; shard++) {
            for (int zone = 0; zone < ZONES; zone++) {
                assertThat(beside.holdersOf("s" + shard, "z" + zone))
                        .isEqualTo(before.holdersOf("s" + shard, "z" + zone));
            }
        }
    }

    /** Hosts apply a change at different times, so each may have its connections from before or after it. */
    @Test
    void hostsThatRarelyCallALeafUseHoldersAndItsConnectionLimitHolds() {
        for (int fleet : new int[] {3, 4, 7, 8, 18, 24, 40}) {
            for (int maxConnections : new int[] {12, 26, 52, 69, 110}) {
                List<HostRecord> hosts = hosts(fleet);
                Tables tables = tables(maxConnections, SHARDS);
                int directCallers = 0;
                int connections = 0;
                for (HostRecord host : hosts) {
                    HostLocation location =
                            new HostLocation(host.getZone(), REGIONS.getOrDefault(host.getZone(), ""), REGIONS);
                    LeafAccess access = new LeafAccess(host.getPeerAddress(), location);
                    access.update(hosts, tables.leaves(), tables.configuration(), false);
                    boolean direct = access.keepsConnections("s0", "z0") || access.isHolderOrBackup("s0", "z0");
                    int before = direct ? access.connectionShare("s0", "z0") : 0;
                    access.update(hosts, tables.leaves(), tables.configuration(), true);
                    assertThat(access.isHeld("s0")).isTrue();
                    directCallers += access.keepsConnections("s0", "z0") ? 1 : 0;
                    int after = access.isHolderOrBackup("s0", "z0") ? access.connectionShare("s0", "z0") : 0;
                    connections += Math.max(before, after);
                }
                assertThat(directCallers).isEqualTo(1);
                assertThat(connections).isAtMost(maxConnections);
            }
        }
    }

    /** Most changes of the tables, such as a draining leaf, move no shard. */
    @Test
    void holdersStayTheSameWhenTheTablesAreAppliedAgain() {
        List<HostRecord> hosts = hosts(83);
        Tables tables = tables(64, SHARDS);
        LeafAccess access = new LeafAccess("10.0.0.1:1", new HostLocation("z1", "r1", REGIONS));
        access.update(hosts, tables.leaves(), tables.configuration(), false);
        ImmutableList<String> first = access.holdersOf("s0", "z0");
        access.update(hosts, tables.leaves(), tables.configuration(), false);
        assertThat(access.holdersOf("s0", "z0")).isEqualTo(first);
        List<HostRecord> fewer = hosts.stream()
                .filter(host -> !host.getPeerAddress().equals(first.get(0)))
                .toList();
        access.update(fewer, tables.leaves(), tables.configuration(), false);
        assertThat(access.holdersOf("s0", "z0")).doesNotContain(first.get(0));
    }

    @Test
    void onlyHoldersAndTheirBackupsCallLeaves() {
        List<HostRecord> hosts = hosts(83);
        int calling = 0;
        for (HostRecord host : hosts) {
            LeafAccess access = access(hosts, 64, host.getPeerAddress(), host.getZone());
            boolean holderOrBackup = false;
            for (int shard = 0; shard < SHARDS; shard++) {
                holderOrBackup |= access.isHolderOrBackup("s" + shard, host.getZone());
            }
            boolean calls = access.leafCalls() == WarmUpPlan.LeafCalls.MADE_HERE;
            assertThat(calls)
                    .isEqualTo(holderOrBackup
                            || (host.getZone().equals("z0") && access.isHolderOrBackup("to-come", "z0")));
            calling += calls ? 1 : 0;
        }
        assertThat(calling).isIn(Range.closed(ZONES, hosts.size() / 2));
    }

    /** The tables list a host only after its warm-up, which already depends on whether it calls leaves. */
    @Test
    void aStartingHostKnowsWhetherItWillCallLeaves() {
        List<HostRecord> hosts = hosts(83);
        for (HostRecord host : hosts) {
            List<HostRecord> others =
                    hosts.stream().filter(other -> !other.equals(host)).toList();
            assertThat(access(others, 64, host.getPeerAddress(), host.getZone()).leafCalls())
                    .isEqualTo(access(hosts, 64, host.getPeerAddress(), host.getZone())
                            .leafCalls());
        }
    }

    @Test
    void everyHostOfASmallFleetCallsLeavesAndOneWithoutKnownHostsReportsUnknown() {
        assertThat(access(hosts(7), 26, "10.0.0.0:1", "z0").leafCalls()).isEqualTo(WarmUpPlan.LeafCalls.MADE_HERE);
        assertThat(access(hosts(0), 26, "10.0.0.0:1", "z0").leafCalls()).isEqualTo(WarmUpPlan.LeafCalls.UNKNOWN);
    }

    /** After a restart of the whole fleet, leaves are known before any host is. */
    @Test
    void aHostWithoutKnownHostsOpensNoConnectionsAheadOfUse() {
        for (boolean throughHolders : new boolean[] {false, true}) {
            Tables tables = tables(64, SHARDS);
            LeafAccess access = new LeafAccess("10.0.0.1:1", new HostLocation("z1", "r1", REGIONS));
            access.update(hosts(0), tables.leaves(), tables.configuration(), throughHolders);
            assertThat(access.keepsConnections("s0", "z1")).isFalse();
            assertThat(access.holdersOf("s0", "z1")).isEmpty();
            access.update(hosts(7), tables.leaves(), tables.configuration(), false);
            assertThat(access.keepsConnections("s0", "z1")).isTrue();
        }
    }

    private static LeafAccess access(List<HostRecord> hosts, int maxConnections, String self, String zone) {
        return access(hosts, maxConnections, self, zone, SHARDS);
    }

    private static LeafAccess access(
            List<HostRecord> hosts,
            int maxConnections,
            String self,
            String zone,
            int shardsWithLeaves,
            Route... moreRoutes) {
        LeafAccess access = new LeafAccess(self, new HostLocation(zone, REGIONS.getOrDefault(zone, zone), REGIONS));
        Tables tables = tables(maxConnections, shardsWithLeaves, moreRoutes);
        access.update(hosts, tables.leaves(), tables.configuration(), false);
        return access;
    }

    private record Tables(List<LeafRecord> leaves, RoutingConfiguration configuration) {}

    /** @param shardsWithLeaves the number of shards with leaves; no route names those beyond {@link #SHARDS} */
    private static Tables tables(int maxConnections, int shardsWithLeaves, Route... moreRoutes) {
        ImmutableList.Builder<String> shards = ImmutableList.builder();
        ImmutableMap.Builder<String, LeafService> services = ImmutableMap.builder();
        List<LeafRecord> leaves = new ArrayList<>();
        for (int shard = 0; shard < shardsWithLeaves; shard++) {
            String service = "s" + shard;
            if (shard < SHARDS) {
                shards.add(service);
            }
            services.put(service, new LeafService(service, "/health", maxConnections));
            for (int copy = 0; copy < 3; copy++) {
                leaves.add(LeafRecord.newBuilder()
                        .setId(service + "-" + copy)
                        .setService(service)
                        .setZone("z" + (shard + copy) % ZONES)
                        .build());
            }
        }
        services.put("to-come", new LeafService("to-come", "/health", maxConnections));
        leaves.add(LeafRecord.newBuilder()
                .setId("to-come")
                .setService("to-come")
                .setZone("z0")
                .build());
        services.put("single", new LeafService("single", "/health", maxConnections));
        Route scatter = route("scatter", new RouteTarget.Scatter(shards.build(), 5, 0.5));
        Route single = route("single", new RouteTarget.Single("single"));
        return new Tables(
                leaves,
                RoutingConfiguration.create(
                        1,
                        ImmutableList.<Route>builder()
                                .add(scatter, single)
                                .add(moreRoutes)
                                .build(),
                        services.buildOrThrow(),
                        RequestLimits.DEFAULT));
    }

    private static Route route(String name, RouteTarget target) {
        Duration time = Duration.ofSeconds(1);
        return new Route(name, "h.example", "/" + name + "/", RequestKind.IDEMPOTENT, time, time, 0, 2, target);
    }

    private static List<HostRecord> hosts(int count) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            String zone = "z" + number % ZONES;
            hosts.add(HostRecord.newBuilder()
                    .setName("host" + number)
                    .setPeerAddress("10.0.0." + number + ":1")
                    .setZone(zone)
                    .setRegion(REGIONS.getOrDefault(zone, zone))
                    .setEntry(true)
                    .build());
        }
        return hosts;
    }
}
