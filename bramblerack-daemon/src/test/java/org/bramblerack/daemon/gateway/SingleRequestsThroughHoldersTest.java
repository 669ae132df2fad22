package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import com.google.protobuf.ByteString;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerHandler;
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
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageResult;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests to a single shard go through the holder of its connections, as queries do; otherwise a leaf gets connections
 * of every host, more than it accepts.
 */
final class SingleRequestsThroughHoldersTest {

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final AtomicReference<StageCall> lastCall = new AtomicReference<>(StageCall.getDefaultInstance());
    private final AtomicReference<StageResult> answer = new AtomicReference<>(StageResult.getDefaultInstance());
    private final List<String> calledHosts = new CopyOnWriteArrayList<>();
    private HostAndPort holderAddress = HostAndPort.fromHost("127.0.0.1");
    private FleetView view;
    private HttpListener callers;
    private PeerServer holder;
    private String url = "";

    @BeforeEach
    void start() throws Exception {
        holderAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        HostAndPort callerAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        holder = new PeerServer(holderAddress, answerAs("holder"), group, LinkPolicy.OPEN, new PeerTraffic());
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
        callers = new HttpListener(callerAddress, group, gateway, () -> RequestLimits.DEFAULT, clock);
        callers.start();
        url = "http://" + callerAddress + "/one/x";
        group.submit(() -> view.apply(tables(holderAddress.toString()), Optional.of(configuration())))
                .get();
    }

    @AfterEach
    void stop() {
        callers.stopNow();
        holder.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void theWholeAnswerOfTheLeafIsForwarded() throws Exception {
        answer.set(StageResult.newBuilder()
                .setStatus(StageResult.Status.ANSWERED)
                .setStatusCode(203)
                .addHeaderNames("signature")
                .addHeaderValues("stamp")
                .addHeaderNames("x-own")
                .addHeaderValues("kept")
                .setRecords(ByteString.copyFromUtf8("body"))
                .build());
        HttpResponse<String> response = get();
        assertThat(response.statusCode()).isEqualTo(203);
        assertThat(response.headers().firstValue("signature")).isEqualTo(Optional.of("stamp"));
        assertThat(response.headers().firstValue("x-own")).isEqualTo(Optional.of("kept"));
        assertThat(response.body()).isEqualTo("body");
        StageCall call = requireNonNull(lastCall.get());
        assertThat(call.getLeaf()).isEqualTo("i-1");
        assertThat(call.getWholeAnswer()).isTrue();
    }

    @Test
    void aFailureOfTheLeafIsForwardedUnchanged() throws Exception {
        answer.set(StageResult.newBuilder()
                .setStatus(StageResult.Status.ANSWERED)
                .setStatusCode(500)
                .addHeaderNames("signature")
                .addHeaderValues("stamp")
                .build());
        assertThat(get().statusCode()).isEqualTo(500);
    }

    /** A lost connection leaves open whether the request ran, and it must not run twice. */
    @Test
    void aLostHolderCallIsNotReportedAsNotRun() throws Exception {
        answer.set(StageResult.newBuilder()
                .setStatus(StageResult.Status.FAILED)
                .setLeafOutcome("BROKEN")
                .build());
        assertThat(get().statusCode()).isEqualTo(502);
    }

    /** On a lagging host the time before a request is read counts against its deadline. */
    @Test
    void whatARequestWaitedHereIsTakenFromItsTime() throws Exception {
        answer.set(StageResult.newBuilder()
                .setStatus(StageResult.Status.ANSWERED)
                .setStatusCode(200)
                .addHeaderNames("signature")
                .addHeaderValues("stamp")
                .build());
        long waitedMillis = 400;
        delayEventLoop(waitedMillis);
        assertThat(get(800).statusCode()).isEqualTo(200);
        long leftMicros = requireNonNull(lastCall.get()).getDeadlineMicros();
        assertThat(leftMicros).isAtMost(TimeUnit.MILLISECONDS.toMicros(800 - waitedMillis));
    }

    @Test
    void aRequestThatExpiredBeforeItWasReadIsNotSent() throws Exception {
        delayEventLoop(400);
        assertThat(get(300).statusCode()).isEqualTo(503);
        assertThat(requireNonNull(lastCall.get()).getLeaf()).isEmpty();
    }

    /** Otherwise a lagging holder delays every call while its backup is idle. */
    @Test
    void callsToALaggingHolderGoToItsBackup() throws Exception {
        HostAndPort otherAddress = HostAndPort.fromParts("127.0.0.1", freePort());
        PeerServer other = new PeerServer(otherAddress, answerAs("other"), group, LinkPolicy.OPEN, new PeerTraffic());
        other.start();
        TableDelta bothHolders = tables(holderAddress.toString()).toBuilder()
                .setRevision(2)
                .addHosts(HostRecord.newBuilder()
                        .setName("other")
                        .setPeerAddress(otherAddress.toString())
                        .setZone("z2")
                        .setRegion("r")
                        .setEntry(true)
                        .setPhase(HostRecord.Phase.READY))
                .build();
        group.submit(() -> view.apply(bothHolders, Optional.of(configuration())))
                .get();
        StageResult answerWithoutLag = StageResult.newBuilder()
                .setStatus(StageResult.Status.ANSWERED)
                .setStatusCode(200)
                .addHeaderNames("signature")
                .addHeaderValues("stamp")
                .build();
        answer.set(answerWithoutLag.toBuilder()
                .setLagMicros(TimeUnit.MILLISECONDS.toMicros(80))
                .build());
        assertThat(get().statusCode()).isEqualTo(200);
        answer.set(answerWithoutLag);
        for (int call = 0; call < 3; call++) {
            assertThat(get().statusCode()).isEqualTo(200);
        }
        other.stop();
        assertThat(ImmutableSet.copyOf(calledHosts)).hasSize(2);
        assertThat(ImmutableSet.copyOf(calledHosts.subList(1, 4))).hasSize(1);
        assertThat(calledHosts.get(0)).isNotEqualTo(calledHosts.get(1));
    }

    /** Simulates event-loop lag by reporting a periodic task as late. */
    private void delayEventLoop(long delayMillis) throws Exception {
        long lateNanos = TimeUnit.MILLISECONDS.toNanos(delayMillis) + LagSamplingPeriod.BUSY_PERIOD.toNanos();
        group.submit(() -> view.routing().eventLoopLag().onTaskRun(clock.nowNanos() - lateNanos))
                .get();
    }

    private HttpResponse<String> get() throws Exception {
        return get(TimeUnit.SECONDS.toMillis(1));
    }

    private HttpResponse<String> get(long deadlineMillis) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .header("request-id", "r-1")
                .header("deadline-ms", Long.toString(deadlineMillis))
                .timeout(Duration.ofSeconds(5))
                .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private PeerHandler answerAs(String host) {
        return (message, reply) -> {
            if (message.hasStageCall()) {
                calledHosts.add(host);
                lastCall.set(message.getStageCall());
                reply.accept(Envelope.newBuilder().setStageResult(requireNonNull(answer.get())));
            }
        };
    }

    private static TableDelta tables(String holderAddress) {
        return TableDelta.newBuilder()
                .setRevision(1)
                .setWhole(true)
                .setThroughHolders(true)
                .addHosts(HostRecord.newBuilder()
                        .setName("holder")
                        .setPeerAddress(holderAddress)
                        .setZone("z2")
                        .setRegion("r")
                        .setEntry(true)
                        .setPhase(HostRecord.Phase.READY))
                .addLeaves(LeafRecord.newBuilder()
                        .setId("i-1")
                        .setService("s")
                        .setAddress("127.0.0.1:1")
                        .setZone("z2")
                        .setSlots(2)
                        .setPhase(LeafRecord.Phase.READY))
                .build();
    }

    private static RoutingConfiguration configuration() {
        RouteTarget.Scatter all = new RouteTarget.Scatter(ImmutableList.of("s"), 5, 0.5);
        return RoutingConfiguration.create(
                1,
                ImmutableList.of(
                        route("all", RequestKind.IDEMPOTENT, all),
                        route("one", RequestKind.MUTATING, new RouteTarget.Single("s"))),
                ImmutableMap.of("s", new LeafService("s", "/health", 26)),
                RequestLimits.DEFAULT);
    }

    private static Route route(String name, RequestKind kind, RouteTarget target) {
        Duration time = Duration.ofSeconds(1);
        return new Route(name, "127.0.0.1", "/" + name + "/", kind, time, time, 0, 2, target);
    }

    private static int freePort() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }
}
