package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LagSamplingPeriod;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.StageCancel;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach leaves after their callers have left. */
final class DepartedCallersTest {
    /** Shorter than the time that a call in flight may continue after its caller has left. */
    private static final Duration SOON = Duration.ofMillis(150);

    private static final Duration LAG = Duration.ofMillis(400);

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final NioEventLoopGroup leafGroup = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final BlockingQueue<HttpExchange> atLeaf = new LinkedBlockingQueue<>();
    private final List<StageCancel> cancels = new CopyOnWriteArrayList<>();
    private final CountDownLatch atHolder = new CountDownLatch(1);
    private final AtomicInteger requests = new AtomicInteger();
    private HostAndPort leafAddress = HostAndPort.fromHost("127.0.0.1");
    private HostAndPort callerAddress = HostAndPort.fromHost("127.0.0.1");
    private HostAndPort holderAddress = HostAndPort.fromHost("127.0.0.1");
    private HttpListener leaf;
    private HttpListener callers;
    private PeerServer holder;
    private FleetView view;

    @BeforeEach
    void start() throws Exception {
        leafAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        callerAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        holderAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        leaf = new HttpListener(leafAddress, leafGroup, atLeaf::add, () -> RequestLimits.DEFAULT, clock);
        leaf.start();
        holder = new PeerServer(
                holderAddress, (message, reply) -> record(message), leafGroup, LinkPolicy.OPEN, new PeerTraffic());
        holder.start();
        view = GatewayFixture.view(group, clock);
        Gateway gateway = new Gateway(
                view,
                () -> true,
                () -> true,
                TeamRateLimits.NONE,
                () -> "",
                PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic()),
                GatewayFixture.NAMES,
                new GatewayMetrics(new MetricRegistry(), clock),
                clock,
                group.next(),
                new SplittableRandom(1));
        callers = new HttpListener(
                callerAddress,
                group,
                new DepartedCallerFilter(view.routing().eventLoopLag(), clock, gateway),
                () -> RequestLimits.DEFAULT,
                clock);
        callers.start();
    }

    @AfterEach
    void stop() {
        callers.stopNow();
        leaf.stopNow();
        holder.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        leafGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aRequestIsNotStartedIfItsCallerLeftWhileTheHostLagged() throws Exception {
        apply(tables(false));
        blockEventLoop(() -> {
            Socket caller = send();
            caller.close();
        });
        assertThat(atLeaf.poll(LAG.plus(SOON).toMillis(), TimeUnit.MILLISECONDS))
                .isNull();
        try (Socket waiting = send()) {
            assertThat(atLeaf.poll(5, TimeUnit.SECONDS)).isNotNull();
            assertThat(waiting.isConnected()).isTrue();
        }
    }

    @Test
    void aRequestWhoseCallerWaitsIsServedOnAHostThatLags() throws Exception {
        apply(tables(false));
        BlockingQueue<Socket> waiting = new LinkedBlockingQueue<>();
        blockEventLoop(() -> waiting.add(send()));
        respond(requireNonNull(atLeaf.poll(5, TimeUnit.SECONDS)));
        try (Socket caller = waiting.take()) {
            byte[] status = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
            assertThat(new String(status, StandardCharsets.ISO_8859_1)).isEqualTo("HTTP/1.1 200");
        }
    }

    @Test
    void aRequestThatWaitsForAConnectionIsNotSentAfterItsCallerLeft() throws Exception {
        apply(tables(false));
        try (Socket first = send()) {
            HttpExchange running = requireNonNull(atLeaf.poll(5, TimeUnit.SECONDS));
            Socket second = send();
            Thread.sleep(SOON.toMillis());
            second.close();
            Thread.sleep(SOON.toMillis());
            respond(running);
            assertThat(first.getInputStream().read()).isEqualTo('H');
        }
        assertThat(atLeaf.poll(1, TimeUnit.SECONDS)).isNull();
    }

    @Test
    void aRequestThatWaitsForAConnectionIsNotSentIfItsCallerLeftWhileTheHostLagged() throws Exception {
        apply(tables(false));
        try (Socket first = send()) {
            HttpExchange running = requireNonNull(atLeaf.poll(5, TimeUnit.SECONDS));
            Socket second = send();
            Thread.sleep(SOON.toMillis());
            blockEventLoop(() -> {
                respond(running);
                Thread.sleep(SOON.toMillis());
                second.close();
            });
            assertThat(first.getInputStream().read()).isEqualTo('H');
        }
        assertThat(atLeaf.poll(1, TimeUnit.SECONDS)).isNull();
    }

    /** A holder that lags must find the cancellation next to the call. */
    @Test
    void aHolderLearnsAtOnceThatACallNeedNotBeSent() throws Exception {
        apply(tables(true));
        try (Socket caller = send()) {
            assertThat(caller.isConnected()).isTrue();
            assertThat(atHolder.await(5, TimeUnit.SECONDS)).isTrue();
        }
        Thread.sleep(SOON.toMillis());
        assertThat(cancels).hasSize(1);
        assertThat(cancels.get(0).getUnlessSent()).isTrue();
        Thread.sleep(2 * SOON.toMillis());
        assertThat(cancels).hasSize(2);
        assertThat(cancels.get(1).getUnlessSent()).isFalse();
    }

    private void record(Envelope message) {
        if (message.hasStageCall()) {
            atHolder.countDown();
        } else if (message.hasStageCancel()) {
            cancels.add(message.getStageCancel());
        }
    }

    /** Runs a task while the event loop is blocked for {@link #LAG}. */
    private void blockEventLoop(Task task) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        group.execute(() -> {
            view.routing()
                    .eventLoopLag()
                    .onTaskRun(clock.nowNanos() - LAG.toNanos() - LagSamplingPeriod.BUSY_PERIOD.toNanos());
            blocked.countDown();
            sleep();
        });
        blocked.await();
        task.run();
    }

    private static void sleep() {
        try {
            Thread.sleep(LAG.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void respond(HttpExchange exchange) {
        FullHttpResponse response = HttpExchange.response(200, Unpooled.wrappedBuffer(new byte[16]));
        response.headers()
                .set("request-id", requireNonNull(exchange.headers().get("request-id")))
                .set("signature", "stamp");
        exchange.respond(response);
    }

    private Socket send() throws IOException {
        Socket caller = new Socket(callerAddress.getHost(), callerAddress.getPort());
        // A connection is not reused for the same request.
        String id = "r-" + requests.incrementAndGet();
        String request = "GET /one/x HTTP/1.1\r\nHost: h\r\nrequest-id: " + id + "\r\ndeadline-ms: 5000\r\n\r\n";
        caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return caller;
    }

    private void apply(TableDelta tables) throws Exception {
        group.submit(() -> view.apply(tables, Optional.of(configuration()))).get();
    }

    private TableDelta tables(boolean throughHolders) {
        TableDelta.Builder tables = TableDelta.newBuilder()
                .setRevision(1)
                .setWhole(true)
                .setThroughHolders(throughHolders)
                .addLeaves(LeafRecord.newBuilder()
                        .setId("i-1")
                        .setService("s")
                        .setAddress(leafAddress.toString())
                        .setZone("z2")
                        .setSlots(1)
                        .setPhase(LeafRecord.Phase.READY));
        if (throughHolders) {
            tables.addHosts(HostRecord.newBuilder()
                    .setName("holder")
                    .setPeerAddress(holderAddress.toString())
                    .setZone("z2")
                    .setRegion("r")
                    .setEntry(true)
                    .setPhase(HostRecord.Phase.READY));
        }
        return tables.build();
    }

    private static RoutingConfiguration configuration() {
        // Hosts reach shards through holders, and a service is a shard if a scattered route names it.
        RouteTarget.Scatter all = new RouteTarget.Scatter(ImmutableList.of("s"), 5, 0.5);
        return RoutingConfiguration.create(
                1,
                ImmutableList.of(route("all", all), route("one", new RouteTarget.Single("s"))),
                ImmutableMap.of("s", new LeafService("s", "/health", 1)),
                RequestLimits.DEFAULT);
    }

    private static Route route(String name, RouteTarget target) {
        Duration time = Duration.ofSeconds(5);
        return new Route(name, "h", "/" + name + "/", RequestKind.IDEMPOTENT, time, time, 0, 1, target);
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }

    /** A task that may throw. */
    private interface Task {
        void run() throws Exception;
    }
}
