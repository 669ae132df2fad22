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

/** The shares of all hosts stay within what a leaf takes, and every shard is reached by somebody. */
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
    void noLeafGetsMoreConnectionsThanItTakes() {
        for (int fleet : new int[] {3, 7, 20, 83, 300}) {
            for (int most : new int[] {26, 52, 64, 110}) {
                List<HostRecord> hosts = hosts(fleet);
                int held = 0;
                int own = 0;
                for (HostRecord host : hosts) {
                    LeafAccess access = access(hosts, most, host.getPeerAddress(), host.getZone());
                    boolean mayConnect = access.keepsConnections("s0", "z0") || access.isHolderOrBackup("s0", "z0");
                    held += mayConnect ? access.connectionShare("s0", "z0") : 0;
                    own += access.isHolderOf("s0") && host.getZone().equals("z0") ? 1 : 0;
                }
                assertThat(held).isAtMost(most);
                assertThat(held).isAtLeast(1);
                assertThat(own).isEqualTo(1);
            }
        }
    }

    /** Held or not, and whatever the order in which hosts learnt of one another, one alone spends what is agreed. */
    @Test
    void oneHostAloneMaySendToAColdLeaf() {
        for (int most : new int[] {26, 410}) {
            List<HostRecord> hosts = hosts(59);
            List<HostRecord> inOtherOrder = new ArrayList<>(hosts);
            Collections.reverse(inOtherOrder);
            int spenders = 0;
            for (HostRecord host : hosts) {
                List<HostRecord> known = spenders % 2 == 0 ? hosts : inOtherOrder;
                LeafAccess access = access(known, most, host.getPeerAddress(), host.getZone());
                spenders += access.maySendToColdLeaf("s0-0", "s0", "z0") ? 1 : 0;
                spenders += access.maySendToColdLeaf("single", "single", "z2") ? 1 : 0;
            }
            assertThat(spenders).isEqualTo(2);
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

    /** The leafs of an index that is cut anew start before the version that names them as shards. */
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

    /** Operators name single shards in routes of their own, to look at one or to try a route. */
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

    /** A new index is built beside the one that is asked; if its shards moved the others, every query would suffer. */
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

    /**
     * Eighteen hosts that take a query every other second would find each connection closed when they need it. Hosts
     * learn of a change at different moments, so that each may have what it had before or what it has after.
     */
    @Test
    void hostsThatRarelyCallALeafUseHoldersAndItsConnectionLimitHolds() {
        for (int fleet : new int[] {3, 4, 7, 8, 18, 24, 40}) {
            for (int most : new int[] {12, 26, 52, 69, 110}) {
                List<HostRecord> hosts = hosts(fleet);
                Tables tables = tables(most, SHARDS);
                int asking = 0;
                int connections = 0;
                for (HostRecord host : hosts) {
                    HostLocation place =
                            new HostLocation(host.getZone(), REGIONS.getOrDefault(host.getZone(), ""), REGIONS);
                    LeafAccess access = new LeafAccess(host.getPeerAddress(), place);
                    access.update(hosts, tables.leaves(), tables.configuration(), false);
                    boolean direct = access.keepsConnections("s0", "z0") || access.isHolderOrBackup("s0", "z0");
                    int before = direct ? access.connectionShare("s0", "z0") : 0;
                    access.update(hosts, tables.leaves(), tables.configuration(), true);
                    assertThat(access.isHeld("s0")).isTrue();
                    asking += access.keepsConnections("s0", "z0") ? 1 : 0;
                    int after = access.isHolderOrBackup("s0", "z0") ? access.connectionShare("s0", "z0") : 0;
                    connections += Math.max(before, after);
                }
                assertThat(asking).isEqualTo(1);
                assertThat(connections).isAtMost(most);
            }
        }
    }

    /** Most changes of the tables move no shard: a leaf says that it drains, a configuration changes a time. */
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
            boolean named = false;
            for (int shard = 0; shard < SHARDS; shard++) {
                named |= access.isHolderOrBackup("s" + shard, host.getZone());
            }
            boolean calls = access.leafCalls() == WarmUpPlan.LeafCalls.MADE_HERE;
            assertThat(calls)
                    .isEqualTo(named || (host.getZone().equals("z0") && access.isHolderOrBackup("to-come", "z0")));
            calling += calls ? 1 : 0;
        }
        assertThat(calling).isIn(Range.closed(ZONES, hosts.size() / 2));
    }

    /** A host is named by the tables only once it is warm, and must know before what to warm up for. */
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

    /** After power the leafs are known before any host is. */
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
            List<HostRecord> hosts, int maxConnections, String self, String zone, int shardsWithLeafs, Route... more) {
        LeafAccess access = new LeafAccess(self, new HostLocation(zone, REGIONS.getOrDefault(zone, zone), REGIONS));
        Tables tables = tables(maxConnections, shardsWithLeafs, more);
        access.update(hosts, tables.leaves(), tables.configuration(), false);
        return access;
    }

    private record Tables(List<LeafRecord> leaves, RoutingConfiguration configuration) {}

    /** @param shardsWithLeafs of how many shards leafs are up; those beyond {@link #SHARDS} are in no route yet */
    private static Tables tables(int maxConnections, int shardsWithLeafs, Route... more) {
        ImmutableList.Builder<String> shards = ImmutableList.builder();
        ImmutableMap.Builder<String, LeafService> services = ImmutableMap.builder();
        List<LeafRecord> leaves = new ArrayList<>();
        for (int shard = 0; shard < shardsWithLeafs; shard++) {
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
                                .add(more)
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
