package org.bramblerack.daemon.gateway;

import static com.google.common.base.Preconditions.checkArgument;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.leaf.AnswerLimits;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.CallMonitor;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafCallback;
import org.bramblerack.daemon.leaf.LeafConnections;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.FleetBudget;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.WarmUpPlan;
import org.bramblerack.process.leaf.ColdRequestLimit;
import org.bramblerack.process.leaf.Distance;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.process.leaf.RoutingPolicy;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.TableDelta;

/**
 * Serves a few queries within the process before it becomes ready, so that its code is loaded and compiled when the
 * first caller arrives.
 *
 * <p>Runs a separate gateway with test leaves on this machine and removes it afterwards. A failure only makes the first
 * queries slower. Run once.
 */
public final class WarmUp {
    private static final Logger LOGGER = System.getLogger(WarmUp.class.getName());
    private static final EventLog EVENTS = EventLog.of(WarmUp.class);
    private static final String HOST = "warm-up.invalid";
    private static final String NEAR = "near";
    private static final String FAR = "far";
    private static final int SHARDS = 16;
    /** Every third shard is in another region, so that the path through another host runs too. */
    private static final int FAR_SHARD_INTERVAL = 3;

    private static final int PART_BYTES = 512;
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
    private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(2);
    /** Extra attempts for the warm-up's queries; they need none, but the code that counts them runs. */
    private static final FleetBudget BUDGET = new FleetBudget(10, 10, ROUTE_TIMEOUT);

    private final CallHeaders headerNames;
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final HostAndPort leafAddress;
    private final HostAndPort callerAddress;
    private final HostAndPort peerAddress;
    private final AtomicInteger answeredCalls = new AtomicInteger();
    private final int shards;
    private final Duration timeLimit;
    private final Supplier<WarmUpPlan.Step> steps;
    private final CountDownLatch done = new CountDownLatch(1);

    /**
     * The size of a warm-up.
     *
     * @param shards the number of shards per query
     * @param queries the maximum number of queries
     * @param limit the maximum duration
     */
    public record Size(int shards, int queries, Duration limit) {
        /** Rejects a size that serves nothing. */
        public Size {
            checkArgument(
                    shards >= 2 && queries >= 1,
                    "%s queries over %s shards; give at least 1 query and 2 shards",
                    queries,
                    shards);
        }
    }

    /**
     * Creates a warm-up.
     *
     * @param address an address of this machine
     * @param firstPort the first of three consecutive free ports at that address
     * @param steps decides on the event loop whether to serve one more query
     */
    public WarmUp(
            CallHeaders headerNames,
            EventLoopGroup group,
            String address,
            int firstPort,
            MonotonicClock clock,
            Supplier<WarmUpPlan.Step> steps) {
        this(headerNames, group, address, firstPort, clock, SHARDS, DEFAULT_TIME_LIMIT, steps);
    }

    /**
     * Creates a warm-up of a given size, for example to benchmark the cost of a call.
     *
     * @param address an address of this machine
     * @param firstPort the first of three consecutive free ports at that address
     */
    public WarmUp(
            CallHeaders headerNames,
            EventLoopGroup group,
            String address,
            int firstPort,
            MonotonicClock clock,
            Size size) {
        this(headerNames, group, address, firstPort, clock, size.shards(), size.limit(), serveCount(size.queries()));
    }

    private WarmUp(
            CallHeaders headerNames,
            EventLoopGroup group,
            String address,
            int firstPort,
            MonotonicClock clock,
            int shards,
            Duration timeLimit,
            Supplier<WarmUpPlan.Step> steps) {
        this.shards = shards;
        this.timeLimit = timeLimit;
        this.steps = steps;
        this.headerNames = headerNames;
        this.group = group;
        this.clock = clock;
        this.leafAddress = HostAndPort.fromParts(address, firstPort);
        this.callerAddress = HostAndPort.fromParts(address, firstPort + 1);
        this.peerAddress = HostAndPort.fromParts(address, firstPort + 2);
    }

    /**
     * Serves the queries and returns.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void run() throws InterruptedException {
        long startedNanos = clock.nowNanos();
        FleetView view = new FleetView(
                "warm-up",
                location(),
                BUDGET,
                ColdRequestLimit.NONE,
                RoutingPolicy.DEFAULT,
                headerNames,
                group,
                clock,
                new SplittableRandom(1));
        PeerTraffic traffic = new PeerTraffic();
        PeerNetwork network = PeerNetwork.byAddress("warm-up", group, LinkPolicy.OPEN, traffic);
        Gateway gateway = new Gateway(
                view,
                () -> true,
                () -> true,
                TeamRateLimits.NONE,
                () -> "",
                network,
                headerNames,
                new GatewayMetrics(new MetricRegistry(), clock),
                clock,
                group.next(),
                new SplittableRandom(1));
        PeerServer peers = new PeerServer(peerAddress, gateway, group, LinkPolicy.OPEN, traffic);
        HttpListener leaves =
                new HttpListener(leafAddress, group, this::answerAsLeaf, () -> RequestLimits.DEFAULT, clock);
        HttpListener callers = new HttpListener(callerAddress, group, gateway, () -> RequestLimits.DEFAULT, clock);
        leaves.start();
        callers.start();
        peers.start();
        group.next().execute(() -> {
            view.apply(tables(), Optional.of(configuration()));
            gateway.probeNow();
            new TestCaller().sendNext();
        });
        boolean inTime = done.await(timeLimit.toNanos(), TimeUnit.NANOSECONDS);
        callers.stopNow();
        leaves.stopNow();
        peers.stop();
        network.stop();
        gateway.stop();
        EVENTS.info("warmed_up")
                .with("leafCalls", answeredCalls.get())
                .with("tookMillis", TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startedNanos))
                .with("inTime", inTime)
                .write();
    }

    private static Supplier<WarmUpPlan.Step> serveCount(int queries) {
        AtomicInteger remaining = new AtomicInteger(queries);
        return () -> remaining.getAndDecrement() > 0 ? WarmUpPlan.Step.SERVE : WarmUpPlan.Step.END;
    }

    /** Ends the warm-up early: the first real request needs the processor and warms up the same code. */
    public void end() {
        done.countDown();
    }

    /** Returns how many calls the test leaves have answered. */
    public int leafCalls() {
        return answeredCalls.get();
    }

    private void answerAsLeaf(HttpExchange exchange) {
        byte[] part = new byte[PART_BYTES];
        new SplittableRandom(answeredCalls.incrementAndGet()).nextBytes(part);
        FullHttpResponse response = HttpExchange.response(200, Unpooled.wrappedBuffer(part));
        response.headers()
                .set(headerNames.requestId(), exchange.headers().get(headerNames.requestId(), ""))
                .set(headerNames.signature(), "warm-up-" + answeredCalls.get())
                .set(headerNames.load(), "1,0,2");
        exchange.respond(response);
    }

    private static HostLocation location() {
        return new HostLocation(NEAR, NEAR, ImmutableMap.of(NEAR, NEAR, FAR, FAR));
    }

    private TableDelta tables() {
        TableDelta.Builder tables = TableDelta.newBuilder().setRevision(1).setWhole(true);
        for (int shard = 0; shard < shards; shard++) {
            tables.addLeaves(LeafRecord.newBuilder()
                    .setId("warm-up-" + shard)
                    .setService(service(shard))
                    .setAddress(leafAddress.toString())
                    .setZone(shard % FAR_SHARD_INTERVAL == 0 ? FAR : NEAR)
                    .setSlots(2)
                    .setPhase(LeafRecord.Phase.READY));
        }
        return tables.addHosts(HostRecord.newBuilder()
                        .setName("warm-up-host")
                        .setPeerAddress(peerAddress.toString())
                        .setZone(FAR)
                        .setRegion(FAR)
                        .setEntry(true)
                        .setPhase(HostRecord.Phase.READY))
                .build();
    }

    private RoutingConfiguration configuration() {
        ImmutableList.Builder<String> scattered = ImmutableList.builder();
        ImmutableMap.Builder<String, LeafService> services = ImmutableMap.builder();
        for (int shard = 0; shard < shards; shard++) {
            scattered.add(service(shard));
            services.put(service(shard), new LeafService(service(shard), "/health", 8));
        }
        Route scatter = route("scatter", "/scatter/", new RouteTarget.Scatter(scattered.build(), 20, 0.5));
        Route single = route("single", "/single/", new RouteTarget.Single(service(1)));
        return RoutingConfiguration.create(
                1, ImmutableList.of(scatter, single), services.buildOrThrow(), RequestLimits.DEFAULT);
    }

    private static Route route(String name, String prefix, RouteTarget target) {
        return new Route(name, HOST, prefix, RequestKind.IDEMPOTENT, ROUTE_TIMEOUT, ROUTE_TIMEOUT, 0, 2, target);
    }

    private static String service(int shard) {
        return "warm-up-service-" + shard;
    }

    /** Sends the queries one after another. Owned by the event loop. */
    private final class TestCaller implements LeafCallback {
        private final LeafConnections connections;
        private int sent;

        TestCaller() {
            Leaf target = new Leaf(
                    "entry", "entry", callerAddress.toString(), Distance.SAME_ZONE, 1, Duration.ZERO, clock.nowNanos());
            this.connections = new LeafConnections(
                    target, group, headerNames, clock, new AnswerLimits(clock), () -> 1, event -> {}, CallMonitor.NONE);
        }

        void sendNext() {
            WarmUpPlan.Step step = done.getCount() == 0 ? WarmUpPlan.Step.END : steps.get();
            switch (step) {
                case SERVE -> send();
                case WAIT -> group.next().schedule(this::sendNext, POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
                default -> {
                    connections.retire();
                    done.countDown();
                }
            }
        }

        private void send() {
            sent++;
            HttpHeaders headers = new DefaultHttpHeaders()
                    .set("Host", HOST)
                    .set(headerNames.requestId(), "warm-up-" + sent)
                    .set(headerNames.deadlineMillis(), ROUTE_TIMEOUT.toMillis());
            String uri = sent % 5 == 0 ? "/single/query" : "/scatter/query";
            LeafRequest request =
                    LeafRequest.create("GET", uri, headers, new byte[0], HomeRegions.ANY, "", headerNames);
            connections.send(request, clock.nowNanos() + ROUTE_TIMEOUT.toNanos(), this);
        }

        @Override
        public void onAnswer(LeafAnswer answer) {
            sendNext();
        }

        @Override
        public void onFailure(LeafOutcome outcome) {
            LOGGER.log(Logger.Level.DEBUG, "a warm-up query failed: {0}", outcome);
            sendNext();
        }
    }
}
