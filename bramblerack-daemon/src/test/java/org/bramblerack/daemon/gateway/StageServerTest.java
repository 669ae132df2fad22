package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopWindow;
import org.bramblerack.process.leaf.EventLoopLag;
import org.bramblerack.process.leaf.LagSamplingPeriod;
import org.bramblerack.process.leaf.LeafOutcome;
import org.bramblerack.request.routed.StageTiming;
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
import org.bramblerack.wire.StageCancel;
import org.bramblerack.wire.StageGrant;
import org.bramblerack.wire.StageResult;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a host refusing or misdirecting calls from hosts with another version of the configuration, and
 * against calls that waited too long.
 */
final class StageServerTest {
    private static final int VERSION_HERE = 5;
    private static final long SOUND_LEAF_MILLIS = 100;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_SECOND = Duration.ofSeconds(1).toNanos() / 1_000;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private HttpListener leaf;
    private final AtomicInteger leafRequests = new AtomicInteger();
    private final AtomicInteger requestsOfFailingLeaf = new AtomicInteger();
    private final AtomicBoolean failing = new AtomicBoolean();
    private final AtomicInteger failureStatus = new AtomicInteger(500);
    private volatile String failingLeaf = "none";
    private volatile String signature = "stamp";
    private final AtomicBoolean silent = new AtomicBoolean();
    private final AtomicLong leafMillis = new AtomicLong();
    private FleetView view;
    private Gateway gateway;

    @BeforeEach
    void start() throws Exception {
        HostAndPort address = HostAndPort.fromParts("127.0.0.1", freePort());
        leaf = new HttpListener(address, group, this::answerAsLeaf, () -> RequestLimits.DEFAULT, clock);
        leaf.start();
        view = GatewayFixture.view(group, clock);
        gateway = new Gateway(
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
        group.submit(() -> view.apply(tables(address), Optional.of(configuration())))
                .get();
    }

    @AfterEach
    void stop() {
        leaf.stopNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aQueryOfAnotherVersionRunsOnTheShardsThatItNames() throws Exception {
        for (int version : new int[] {VERSION_HERE - 1, VERSION_HERE, VERSION_HERE + 1}) {
            StageResult result = call(query().setConfigurationVersion(version));
            assertThat(result.getStatus()).isEqualTo(StageResult.Status.ANSWERED);
            assertThat(result.getShardsList()).containsExactly(7);
            assertThat(result.getSignaturesCount()).isEqualTo(1);
        }
    }

    @Test
    void anUnknownRouteIsServedAsTheCallDescribesIt() throws Exception {
        StageResult result = call(query().setRoute("of-a-version-to-come"));
        assertThat(result.getStatus()).isEqualTo(StageResult.Status.ANSWERED);
    }

    @Test
    void aCallThatNamesNoShardsIsNotRun() throws Exception {
        StageResult result = call(query().clearServices());
        assertThat(result.getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
    }

    /** A host with outdated tables must not report a new leaf as gone. */
    @Test
    void aCallToAnUnknownLeafReportsNoConnection() throws Exception {
        StageResult result = call(query().clearServices().clearShards().setLeaf("i-new"));
        assertThat(result.getLeafOutcome()).isEqualTo(LeafOutcome.NO_CONNECTION.name());
        assertThat(result.getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
    }

    /** Otherwise the calling host treats the silence as a failure and makes a third attempt, where two are allowed. */
    @Test
    void progressIsReportedAtOnceForAForwardedCall() throws Exception {
        HostRecord other = HostRecord.newBuilder()
                .setName("other")
                .setPeerAddress("127.0.0.1:" + freePort())
                .setZone("z2")
                .setRegion("r")
                .setEntry(true)
                .setPhase(HostRecord.Phase.READY)
                .build();
        LeafRecord leafElsewhere = LeafRecord.newBuilder()
                .setId("i-2")
                .setService("s2")
                .setAddress("127.0.0.1:1")
                .setZone("z2")
                .setSlots(2)
                .setPhase(LeafRecord.Phase.READY)
                .build();
        TableDelta delta = TableDelta.newBuilder()
                .setRevision(2)
                .addHosts(other)
                .addLeaves(leafElsewhere)
                .setThroughHolders(true)
                .build();
        group.submit(() -> view.apply(delta, Optional.empty())).get();
        CompletableFuture<Envelope.Builder> first = new CompletableFuture<>();
        Envelope message = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCall(query().clearServices().addServices("s2"))
                .build();
        group.submit(() -> gateway.handle(message, first::complete)).get();
        boolean reportedAtOnce = group.submit(first::isDone).get();
        assertThat(reportedAtOnce).isTrue();
        assertThat(first.get().hasStageProgress()).isTrue();
    }

    /** Messages that have already arrived are read before the query starts. */
    @Test
    void aQueryThatIsCancelledAtOnceReachesNoLeaf() throws Exception {
        cancelAtOnce(query());
        assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.ANSWERED);
        assertThat(leafRequests.get()).isEqualTo(1);
    }

    /** Guards against requests that reach leaves after their callers have left, through a host that lags. */
    @Test
    void aLeafCallThatIsCancelledAtOnceReachesNoLeaf() throws Exception {
        StageCall.Builder leafCall = query().setLeaf("i-1");
        assertThat(call(leafCall).getStatus()).isEqualTo(StageResult.Status.ANSWERED);
        assertThat(connections("i-1")).isEqualTo(1);
        // A connection is not reused for the same request.
        cancelAtOnce(leafCall.setHeaderValues(0, "r-2"));
        // A call that was sent is cancelled by closing its connection.
        assertThat(connections("i-1")).isEqualTo(1);
        assertThat(leafRequests.get()).isEqualTo(1);
    }

    @Test
    void aCallThatWaitsForAConnectionIsWithdrawnAndOthersGoOn() throws Exception {
        silent.set(true);
        int calls = 40;
        for (int number = 1; number <= calls; number++) {
            start(query().setLeaf("i-1").setCall(number));
        }
        // The calls start after the tasks that receive them.
        group.submit(() -> {}).get();
        int sent = connections("i-1");
        assertThat(sent).isLessThan(calls);
        while (leafRequests.get() < sent) {
            Thread.sleep(5);
        }
        for (int number = 1; number <= calls; number++) {
            cancel(StageCancel.newBuilder().setCall(number).setUnlessSent(true));
        }
        assertThat(connections("i-1")).isEqualTo(sent);
        cancel(StageCancel.newBuilder().setCall(1));
        Thread.sleep(200);
        assertThat(connections("i-1")).isEqualTo(sent - 1);
        assertThat(leafRequests.get()).isEqualTo(sent);
    }

    private int connections(String leafId) throws Exception {
        return group.submit(() ->
                        view.connectionsTo(view.leaf(leafId).orElseThrow()).count())
                .get();
    }

    private void cancel(StageCancel.Builder cancel) throws Exception {
        Envelope message = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCancel(cancel)
                .build();
        group.submit(() -> gateway.handle(message, reply -> {})).get();
    }

    /** Passes on a call and its cancellation, which have arrived together. */
    private void cancelAtOnce(StageCall.Builder call) throws Exception {
        Envelope message = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCall(call.setCall(9))
                .build();
        Envelope cancel = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCancel(StageCancel.newBuilder().setCall(9))
                .build();
        group.submit(() -> {
                    gateway.handle(message, reply -> {});
                    gateway.handle(cancel, reply -> {});
                })
                .get();
    }

    /** Guards against a leaf's failure counting as a part because it is signed and no 5xx. */
    @ParameterizedTest
    @ValueSource(ints = {300, 304, 404, 422, 429, 503})
    void aSignedFailureIsNoPart(int status) throws Exception {
        failing.set(true);
        failureStatus.set(status);
        assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(leafRequests.get()).isEqualTo(2);
        StageResult ofLeafCall = call(query().setLeaf("i-1"));
        assertThat(ofLeafCall.getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(ofLeafCall.getSignaturesList()).isEmpty();
    }

    /** Guards against the failures of a leaf counting as its successes because they are no 5xx. */
    @ParameterizedTest
    @ValueSource(ints = {304, 404, 500})
    void aLeafThatFailsQueriesWhichOthersAcceptIsEjected(int status) throws Exception {
        failureStatus.set(status);
        failingLeaf = "i-1";
        for (int number = 0; number < 15; number++) {
            assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.ANSWERED);
        }
        // Three failures eject the leaf, and one more after each ejection, which doubles.
        assertThat(requestsOfFailingLeaf.get()).isAtMost(8);
    }

    @Test
    void aQueryThatAllLeavesRejectEjectsNone() throws Exception {
        failing.set(true);
        failureStatus.set(404);
        for (int number = 0; number < 20; number++) {
            assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.FAILED);
        }
        assertThat(isEjected("i-1")).isFalse();
        assertThat(isEjected("i-3")).isFalse();
    }

    /** Guards against the presence of a field being taken for a signature. */
    @ParameterizedTest
    @ValueSource(strings = {"", "one, two", "one two", "\u00e9"})
    void anAnswerWithAMalformedSignatureIsNoPart(String malformed) throws Exception {
        signature = malformed;
        assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(leafRequests.get()).isEqualTo(2);
        assertThat(call(query().setLeaf("i-1")).getStatus()).isEqualTo(StageResult.Status.FAILED);
        StageResult whole = call(query().setLeaf("i-1").setWholeAnswer(true));
        assertThat(whole.getStatusCode()).isEqualTo(200);
    }

    /** A call that a stopping host would cut off is refused as not run, so that the calling host calls another. */
    @Test
    void aCallThatOutlastsAStoppingHostIsNotRun() throws Exception {
        gateway.beginStop(
                StopWindow.closingAt(clock.nowNanos() + Duration.ofSeconds(3).toNanos()));
        StageCall.Builder call =
                query().setRoute("unknown").clearGoalMicros().setDeadlineMicros(20 * MICROS_PER_SECOND);
        assertThat(call(call).getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
        assertThat(call(call.setLeaf("i-1")).getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
        assertThat(leafRequests.get()).isEqualTo(0);
        assertThat(call(query().setDeadlineMicros(MICROS_PER_SECOND)).getStatus())
                .isEqualTo(StageResult.Status.ANSWERED);
    }

    /** The calling host would learn only from the lost connection that its calls may have run. */
    @Test
    void callsInFlightAreRepliedToBeforeTheHostEnds() throws Exception {
        silent.set(true);
        CompletableFuture<StageResult> ofQuery = start(query().setCall(1).setMaxAttempts(1));
        CompletableFuture<StageResult> ofLeafCall = start(query().setCall(2).setLeaf("i-1"));
        while (leafRequests.get() < 2) {
            Thread.sleep(5);
        }
        gateway.endRequests();
        assertThat(ofQuery.get(5, TimeUnit.SECONDS).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(ofLeafCall.get(5, TimeUnit.SECONDS).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(call(query().setCall(3)).getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
    }

    /** Otherwise a lagging host sends calls after their deadline or as an additional attempt. */
    @Test
    void aCallThatWaitedLongerThanTheHedgeDelayIsNotRun() throws Exception {
        delayEventLoop(query().getHedgeDelayMicros() * NANOS_PER_MICRO);
        assertThat(call(query()).getStatus()).isEqualTo(StageResult.Status.NOT_RUN);
        assertThat(call(query().setLeaf("i-1").setDeadlineMicros(1)).getStatus())
                .isEqualTo(StageResult.Status.NOT_RUN);
        assertThat(leafRequests.get()).isEqualTo(0);
    }

    @Test
    void waitingTimeIsSubtractedFromTheLeafDeadline() throws Exception {
        long waitedMillis = 400;
        delayEventLoop(TimeUnit.MILLISECONDS.toNanos(waitedMillis));
        call(query());
        long deadlineMillis = TimeUnit.MICROSECONDS.toMillis(query().getDeadlineMicros());
        assertThat(leafMillis.get()).isGreaterThan(0);
        assertThat(leafMillis.get()).isAtMost(deadlineMillis - waitedMillis);
    }

    /** The calling host may have called a leaf itself by then, so two attempts here would make three. */
    @Test
    void aCallThatWaitedBrieflyMakesOneAttemptLess() throws Exception {
        failing.set(true);
        call(query());
        assertThat(leafRequests.getAndSet(0)).isEqualTo(2);
        delayEventLoop(StageTiming.SILENCE_SLACK_NANOS + TimeUnit.MILLISECONDS.toNanos(20));
        call(query());
        assertThat(leafRequests.get()).isEqualTo(1);
    }

    /** Guards against a second attempt that the calling host may be making itself. */
    @Test
    void aSecondLeafIsCalledOnlyWithAnAttemptOfTheCallingHost() throws Exception {
        failing.set(true);
        CompletableFuture<StageResult> granted =
                startAndAnswerRequests(5, StageGrant.newBuilder().addGranted(7));
        assertThat(granted.get(5, TimeUnit.SECONDS).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(leafRequests.getAndSet(0)).isEqualTo(2);
        CompletableFuture<StageResult> denied =
                startAndAnswerRequests(6, StageGrant.newBuilder().addDenied(7));
        assertThat(denied.get(5, TimeUnit.SECONDS).getStatus()).isEqualTo(StageResult.Status.FAILED);
        assertThat(leafRequests.get()).isEqualTo(1);
    }

    /** Starts a query that is handed one of two attempts, and gives the same answer to each request for the other. */
    private CompletableFuture<StageResult> startAndAnswerRequests(long number, StageGrant.Builder grant) {
        CompletableFuture<StageResult> result = new CompletableFuture<>();
        Envelope message = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCall(query().setCall(number).setMaxAttempts(1).setFurtherAttempts(1))
                .build();
        Envelope answer = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageGrant(grant.setCall(number))
                .build();
        group.execute(() -> gateway.handle(message, reply -> {
            if (reply.hasStageResult()) {
                result.complete(reply.getStageResult());
            } else if (reply.getStageProgress().getWantedAttemptsList().contains(7)) {
                group.execute(() -> gateway.handle(answer, ignored -> {}));
            }
        }));
        return result;
    }

    /** Simulates event-loop lag by reporting a periodic task as late. */
    private void delayEventLoop(long delayNanos) throws Exception {
        group.submit(() -> {
                    EventLoopLag lag = view.routing().eventLoopLag();
                    lag.onTaskRun(clock.nowNanos() - delayNanos - LagSamplingPeriod.BUSY_PERIOD.toNanos());
                })
                .get();
    }

    private boolean isEjected(String leafId) throws Exception {
        return group.submit(() -> view.leaf(leafId).orElseThrow().isEjected(clock.nowNanos()))
                .get();
    }

    private StageResult call(StageCall.Builder call) throws Exception {
        return start(call).get(5, TimeUnit.SECONDS);
    }

    private CompletableFuture<StageResult> start(StageCall.Builder call) {
        CompletableFuture<StageResult> result = new CompletableFuture<>();
        Envelope message = Envelope.newBuilder()
                .setSender("127.0.0.1:2")
                .setStageCall(call)
                .build();
        group.execute(() -> gateway.handle(message, reply -> {
            if (reply.hasStageResult()) {
                result.complete(reply.getStageResult());
            }
        }));
        return result;
    }

    private static StageCall.Builder query() {
        return StageCall.newBuilder()
                .setConfigurationVersion(VERSION_HERE)
                .setRoute("all")
                .setMethod("GET")
                .setUri("/all/x")
                .addHeaderNames("request-id")
                .addHeaderValues("r-1")
                .addShards(7)
                .addServices("s")
                .setTopRecords(5)
                .setMaxAttempts(2)
                .setHedgeDelayMicros(MICROS_PER_SECOND)
                .setGoalMicros(2 * MICROS_PER_SECOND)
                .setDeadlineMicros(3 * MICROS_PER_SECOND);
    }

    private void answerAsLeaf(HttpExchange exchange) {
        leafRequests.incrementAndGet();
        if (silent.get()) {
            return;
        }
        leafMillis.set(Long.parseLong(exchange.headers().get("deadline-ms", "0")));
        boolean fails = failing.get() || failingLeaf.equals(exchange.headers().get("leaf"));
        int status = fails ? failureStatus.get() : 200;
        FullHttpResponse response = HttpExchange.response(status, Unpooled.wrappedBuffer(new byte[16]));
        response.headers().set("request-id", "r-1").set("signature", signature);
        if (failingLeaf.equals("none")) {
            exchange.respond(response);
        } else if (fails) {
            requestsOfFailingLeaf.incrementAndGet();
            exchange.respond(response);
        } else {
            // The failing leaf is the fastest one.
            group.schedule(() -> exchange.respond(response), SOUND_LEAF_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static TableDelta tables(HostAndPort leafAddress) {
        return TableDelta.newBuilder()
                .setRevision(1)
                .setWhole(true)
                .addLeaves(leafRecord("i-1", leafAddress))
                .addLeaves(leafRecord("i-3", leafAddress))
                .build();
    }

    private static LeafRecord leafRecord(String id, HostAndPort address) {
        return LeafRecord.newBuilder()
                .setId(id)
                .setService("s")
                .setAddress(address.toString())
                .setZone("z")
                .setSlots(2)
                .setPhase(LeafRecord.Phase.READY)
                .build();
    }

    private static RoutingConfiguration configuration() {
        Duration time = Duration.ofSeconds(1);
        RouteTarget.Scatter target = new RouteTarget.Scatter(ImmutableList.of("s"), 5, 0.5);
        Route route = new Route("all", "h", "/all/", RequestKind.IDEMPOTENT, time, time, 0, 2, target);
        return RoutingConfiguration.create(
                VERSION_HERE,
                ImmutableList.of(route),
                ImmutableMap.of("s", new LeafService("s", "/health", 26)),
                RequestLimits.DEFAULT);
    }

    private static int freePort() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return any.getLocalPort();
        }
    }
}
