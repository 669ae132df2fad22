package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.quota.QuotaBound;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A team sends six times its limit to five hosts while its quota server stops; guards against exceeding the bound. */
final class FleetLimitsTest {
    private static final int HOSTS = 5;
    private static final long REQUEST_INTERVAL_MILLIS = 16;
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final QuotaBound BOUND = new QuotaBound(WINDOW, 0.1, 20);
    private static final RateLimit LIMIT = new RateLimit(50, 10);
    private static final Team TEAM = new Team("team", ImmutableSet.of(), OptionalInt.empty(), LIMIT, HomeRegions.ANY);
    private static final CallerIdentity CALLER = new CallerIdentity(Optional.of(TEAM));

    private final MonotonicClock clock = MonotonicClock.system();
    private final ConcurrentLinkedQueue<Long> permittedNanos = new ConcurrentLinkedQueue<>();
    private final List<Host> hosts = new ArrayList<>();

    @AfterEach
    void stop() {
        hosts.forEach(Host::stop);
    }

    @Test
    void theBoundHoldsAndRequestsArePermittedAfterTheQuotaServerStops() throws Exception {
        for (int number = 0; number < HOSTS; number++) {
            hosts.add(new Host());
        }
        for (Host host : hosts) {
            host.start();
        }
        // Spending of an earlier incarnation no longer counts after one window.
        Thread.sleep(WINDOW.plusMillis(200).toMillis());
        hosts.forEach(Host::startLoad);
        Thread.sleep(2 * WINDOW.toMillis());
        Map<Host, Long> before = new HashMap<>();
        hosts.forEach(host -> before.put(host, host.count("reports_taken")));
        Thread.sleep(WINDOW.toMillis());
        Comparator<Host> byReportCount =
                Comparator.comparingLong(host -> host.count("reports_taken") - before.getOrDefault(host, 0L));
        Host quotaServer = hosts.stream().max(byReportCount).orElseThrow();
        long takeoversBefore = takeovers();
        quotaServer.stop();
        long stoppedNanos = clock.nowNanos();
        Thread.sleep(4 * WINDOW.toMillis());
        long endNanos = clock.nowNanos();
        hosts.forEach(Host::stop);

        assertThat(maxPermittedPerWindow()).isAtMost((int) BOUND.maxRequests(LIMIT));
        assertThat(takeovers()).isGreaterThan(takeoversBefore);
        long inLastWindows = permittedNanos.stream()
                .filter(at -> at > stoppedNanos + 2 * WINDOW.toNanos() && at <= endNanos)
                .count();
        assertThat(inLastWindows).isAtLeast((long) LIMIT.perSecond());
    }

    private long takeovers() {
        return hosts.stream()
                .mapToLong(host -> host.count("accounts_taken_over"))
                .sum();
    }

    private int maxPermittedPerWindow() {
        List<Long> times = permittedNanos.stream().sorted().toList();
        int max = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= WINDOW.toNanos()) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    private TableDelta tables() {
        TableDelta.Builder delta = TableDelta.newBuilder().setRevision(1).setWhole(true);
        for (Host host : hosts) {
            delta.addHosts(HostRecord.newBuilder()
                    .setName(host.address.toString())
                    .setPeerAddress(host.address.toString())
                    .setZone("z")
                    .setRegion("r")
                    .setEntry(true)
                    .setPhase(HostRecord.Phase.READY));
        }
        return delta.build();
    }

    /** The rate limits of one entry host, with real connections to the others. */
    private final class Host {
        private final NioEventLoopGroup group = new NioEventLoopGroup(1);
        private final HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        private final MetricRegistry metrics = new MetricRegistry();
        private final FleetView view = GatewayFixture.view(group, clock);
        private final PeerNetwork network =
                PeerNetwork.byAddress(address.toString(), group, LinkPolicy.OPEN, new PeerTraffic());
        private final FleetLimits limits = new FleetLimits(
                address.toString(),
                BOUND,
                view,
                () -> true,
                network,
                new LimitMetrics(metrics),
                clock,
                InstantSource.system(),
                group.next(),
                new SplittableRandom(1));
        private final PeerServer server =
                new PeerServer(address, limits::handle, group, LinkPolicy.OPEN, new PeerTraffic());

        Host() throws Exception {
            view.onHostsChanged(limits::onHostsChanged);
        }

        void start() throws Exception {
            server.start();
            RoutingConfiguration configuration = RoutingConfiguration.create(
                    1, ImmutableList.of(), ImmutableMap.of(), RequestLimits.DEFAULT, Teams.of(List.of(TEAM)));
            group.submit(() -> view.apply(tables(), Optional.of(configuration))).get();
            limits.start();
        }

        void startLoad() {
            group.scheduleAtFixedRate(
                    () -> limits.requestPermission(CALLER, spending -> {
                        if (spending instanceof TeamRateLimits.Decision.Permitted) {
                            permittedNanos.add(clock.nowNanos());
                        }
                    }),
                    REQUEST_INTERVAL_MILLIS,
                    REQUEST_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        long count(String name) {
            return metrics.counter("limits_" + name).getCount();
        }

        void stop() {
            if (!group.isShuttingDown()) {
                server.stop();
                network.stop();
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }
}
