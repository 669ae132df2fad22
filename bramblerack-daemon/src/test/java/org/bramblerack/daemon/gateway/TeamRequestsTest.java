package org.bramblerack.daemon.gateway;

import static com.google.common.truth.Truth.assertThat;
import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.HomeRegions;
import org.bramblerack.version.routing.KeyDigest;
import org.bramblerack.version.routing.LeafService;
import org.bramblerack.version.routing.RateLimit;
import org.bramblerack.version.routing.RequestKind;
import org.bramblerack.version.routing.RequestLimits;
import org.bramblerack.version.routing.Route;
import org.bramblerack.version.routing.RouteTarget;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.version.routing.Team;
import org.bramblerack.version.routing.Teams;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.StageCall;
import org.bramblerack.wire.StageResult;
import org.bramblerack.wire.TableDelta;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers are served by their key, and leaves and other hosts receive the team but never the key, byte for byte. */
final class TeamRequestsTest {
    private static final String KEY = "Authorization: Token key-1";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final MonotonicClock clock = MonotonicClock.system();
    private final ConcurrentLinkedQueue<HttpHeaders> receivedByLeaf = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<StageCall> receivedByHolder = new ConcurrentLinkedQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private VersionCheck versionCheck = callback -> callback.accept(true);
    private volatile TeamRateLimits limits = TeamRateLimits.NONE;
    private FleetView view;
    private HttpListener callers;
    private HttpListener leaf;
    private PeerServer holder;
    private HostAndPort callerAddress;
    private HostAndPort leafAddress;
    private HostAndPort holderAddress;

    @BeforeEach
    void start() throws Exception {
        callerAddress = freeAddress();
        leafAddress = freeAddress();
        holderAddress = freeAddress();
        holder = new PeerServer(holderAddress, this::answerAsHolder, group, LinkPolicy.OPEN, new PeerTraffic());
        holder.start();
        leaf = new HttpListener(leafAddress, group, this::answerAsLeaf, () -> RequestLimits.DEFAULT, clock);
        leaf.start();
        view = GatewayFixture.view(group, clock);
        TableStatus status = new TableStatus() {
            @Override
            public boolean isCurrent() {
                return true;
            }

            @Override
            public void confirmNewest(Consumer<Boolean> callback) {
                versionCheck.ask(callback);
            }
        };
        Gateway gateway = new Gateway(
                view,
                () -> true,
                status,
                (caller, callback) -> limits.spend(caller, callback),
                () -> "",
                PeerNetwork.byAddress("127.0.0.1:1", group, LinkPolicy.OPEN, new PeerTraffic()),
                GatewayFixture.NAMES,
                new GatewayMetrics(metrics, clock),
                clock,
                group.next(),
                new SplittableRandom(1));
        callers = new HttpListener(callerAddress, group, gateway, () -> RequestLimits.DEFAULT, clock);
        callers.start();
        apply(1, false, Teams.of(List.of(team("ours", "key-1", "key-2"), team("theirs", "key-3"))));
    }

    @AfterEach
    void stop() {
        callers.stopNow();
        leaf.stopNow();
        holder.stop();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void aRequestWhoseCallerLeftBeforeThePermitIsRefundedAndReachesNoLeaf() throws Exception {
        CompletableFuture<Consumer<TeamRateLimits.Decision>> permitRequest = new CompletableFuture<>();
        AtomicInteger refunds = new AtomicInteger();
        limits = (caller, callback) -> permitRequest.complete(callback);
        try (Socket socket = new Socket(callerAddress.getHost(), callerAddress.getPort())) {
            socket.getOutputStream()
                    .write(("GET /one/x HTTP/1.1\r\nHost: h\r\ndeadline-ms: 5000\r\n" + KEY + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            permitRequest.get(5, TimeUnit.SECONDS);
        }
        while (callers.connectionCount() > 0) {
            Thread.onSpinWait();
        }
        Consumer<TeamRateLimits.Decision> callback = permitRequest.get();
        group.submit(() -> callback.accept(new TeamRateLimits.Decision.Permitted(refunds::incrementAndGet)))
                .get();
        assertThat(refunds.get()).isEqualTo(1);
        limits = TeamRateLimits.NONE;
        assertThat(status("/one/x", KEY)).isEqualTo(200);
        assertThat(receivedByLeaf).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Own: kept",
                "team: evil",
                "TeAm: evil",
                "Team: evil\r\nteam: theirs\r\nTEAM:",
                "team:\t theirs \t",
                "Connection: keep-alive, team\r\nteam: evil",
                "Connection: Team",
                "Connection: authorization",
                "X-Folded: a\r\n team: evil",
                "team: evil\r\n folded",
                "team: ours, theirs"
            })
    void theLeafReceivesTheTeamOnceAndNeverTheKey(String fields) throws Exception {
        assertThat(status("/one/x", KEY, fields)).isEqualTo(200);
        assertThat(status("/one/x", fields, KEY)).isEqualTo(200);
        assertThat(receivedByLeaf).hasSize(2);
        for (HttpHeaders received : receivedByLeaf) {
            assertThat(received.getAll("team")).containsExactly("ours");
            assertThat(received.contains("Authorization")).isFalse();
            assertThat(received.toString()).doesNotContain("key-1");
        }
    }

    /** Malformed field lines are rejected, or become part of the key before them, which is then unknown. */
    @ParameterizedTest
    @ValueSource(strings = {"team : evil", "team\t: evil", "X: a\rteam: evil", "X: a\0b", " team: evil"})
    void aMalformedHeadIsRefusedOrAddsNoTeam(String fields) throws Exception {
        int status = status("/one/x", KEY, fields);
        if (status == 200) {
            assertThat(requireNonNull(receivedByLeaf.peek()).getAll("team")).containsExactly("ours");
            assertThat(requireNonNull(receivedByLeaf.peek()).toString()).doesNotContain("\r");
        } else {
            assertThat(status).isAnyOf(400, 401);
            assertThat(receivedByLeaf).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Own: none",
                "Authorization: Token nobody",
                "Authorization: Token KEY-1",
                "Authorization: Basic a2V5LTE=",
                "Authorization: key-1",
                "Authorization: Token key-1\r\nauthorization: Token key-3",
                "Team: ours",
                "Proxy-Authorization: Token key-1"
            })
    void anUnknownCallerIsRefusedAndReachesNoLeaf(String fields) throws Exception {
        String answer = answer("/one/x", fields);
        assertThat(answer).startsWith("HTTP/1.1 401");
        assertThat(answer).contains("www-authenticate: Token");
        assertThat(answer).doesNotContain("retry:");
        assertThat(answer).doesNotContain("key-1");
        assertThat(receivedByLeaf).isEmpty();
        assertThat(metrics.counter("gateway_refused_unknown_key").getCount()).isEqualTo(1);
    }

    /** This host may have missed the version that added the key. */
    @Test
    void aHostThatCannotConfirmItsVersionAnswersRetryLater() throws Exception {
        versionCheck = callback -> callback.accept(false);
        String answer = answer("/one/x", "Authorization: Token new");
        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(answer).contains("retry: 0.3");
        assertThat(receivedByLeaf).isEmpty();
        assertThat(status("/one/x", KEY)).isEqualTo(200);
        assertThat(metrics.counter("gateway_refused_key_undecided").getCount()).isEqualTo(1);
    }

    @Test
    void aKeyThatArrivesDuringTheVersionCheckIsServed() throws Exception {
        versionCheck = callback -> {
            view.apply(tables(2), Optional.of(configuration(2, Teams.of(List.of(team("ours", "new"))))));
            callback.accept(true);
        };
        assertThat(status("/one/x", "Authorization: Token new")).isEqualTo(200);
        assertThat(status("/one/x", KEY)).isEqualTo(401);
    }

    @Test
    void aMovedKeyIdentifiesItsNewTeam() throws Exception {
        assertThat(status("/one/x", "Authorization: Token key-2")).isEqualTo(200);
        apply(2, false, Teams.of(List.of(team("ours", "key-1"), team("theirs", "key-2", "key-3"))));
        assertThat(status("/one/x", "Authorization: Token key-2")).isEqualTo(200);
        assertThat(receivedByLeaf.stream().map(received -> received.get("team")).toList())
                .containsExactly("ours", "theirs")
                .inOrder();
    }

    @Test
    void aPublicRouteNeedsNoKeyAndForwardsNone() throws Exception {
        assertThat(status("/public/x", "team: evil")).isEqualTo(200);
        assertThat(status("/public/x", "Authorization: Token nobody", "team: evil"))
                .isEqualTo(200);
        assertThat(status("/public/x", "Authorization: Basic own")).isEqualTo(200);
        assertThat(status("/public/x", KEY)).isEqualTo(200);
        ImmutableList<HttpHeaders> received = ImmutableList.copyOf(receivedByLeaf);
        assertThat(received.stream().map(headers -> headers.get("team", "")).toList())
                .containsExactly("", "", "", "ours")
                .inOrder();
        assertThat(received.stream()
                        .map(headers -> headers.get("Authorization", ""))
                        .toList())
                .containsExactly("", "", "Basic own", "")
                .inOrder();
    }

    @Test
    void withoutTeamsTheCredentialsOfCallersReachTheLeaf() throws Exception {
        apply(2, false, Teams.NONE);
        assertThat(status("/one/x", KEY)).isEqualTo(200);
        assertThat(requireNonNull(receivedByLeaf.peek()).get("Authorization")).isEqualTo("Token key-1");
        assertThat(requireNonNull(receivedByLeaf.peek()).contains("team")).isFalse();
    }

    @Test
    void anotherHostReceivesTheTeamAndNotTheKey() throws Exception {
        apply(2, true, Teams.of(List.of(team("ours", "key-1"))));
        assertThat(status("/one/x", KEY, "team: evil")).isEqualTo(502);
        StageCall call = requireNonNull(receivedByHolder.peek());
        assertThat(call.getTeam()).isEqualTo("ours");
        assertThat(call.getPriority()).isEqualTo(3);
        assertThat(call.toString()).doesNotContain("key-1");
        assertThat(call.toString()).doesNotContain("evil");
    }

    @Test
    void aRequestThatNoRegionMayServeIsNotSent() throws Exception {
        Team bound = new Team(
                "bound",
                ImmutableSet.of(KeyDigest.of("key-1")),
                OptionalInt.empty(),
                RateLimit.NONE,
                HomeRegions.of(List.of("elsewhere")));
        apply(2, true, Teams.of(List.of(bound)));
        assertThat(status("/home/x", KEY)).isEqualTo(503);
        apply(3, false, Teams.of(List.of(bound)));
        assertThat(status("/home/x", KEY)).isEqualTo(503);
        assertThat(status("/one/x", KEY)).isEqualTo(503);
        assertThat(receivedByLeaf).isEmpty();
        assertThat(receivedByHolder).isEmpty();
    }

    private int status(String path, String... fields) throws Exception {
        return Integer.parseInt(answer(path, fields).substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    /** Sends a request byte for byte and returns the answer as text. */
    private String answer(String path, String... fields) throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), callerAddress.getPort())) {
            socket.setSoTimeout(5_000);
            String head = "GET " + path + " HTTP/1.1\r\nHost: h\r\nrequest-id: r-1\r\ndeadline-ms: 900\r\n"
                    + String.join("\r\n", fields) + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private void answerAsLeaf(HttpExchange exchange) {
        receivedByLeaf.add(exchange.headers());
        FullHttpResponse response = HttpExchange.response(200, Unpooled.EMPTY_BUFFER);
        response.headers().set("signature", "s").set("request-id", "r-1");
        exchange.respond(response);
    }

    private void answerAsHolder(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasStageCall()) {
            receivedByHolder.add(message.getStageCall());
            reply.accept(Envelope.newBuilder()
                    .setStageResult(StageResult.newBuilder()
                            .setStatus(StageResult.Status.FAILED)
                            .setLeafOutcome("BROKEN")));
        }
    }

    private void apply(long version, boolean throughHolders, Teams teams) throws Exception {
        TableDelta tables =
                tables(version).toBuilder().setThroughHolders(throughHolders).build();
        group.submit(() -> view.apply(tables, Optional.of(configuration(version, teams))))
                .get();
    }

    private TableDelta tables(long revision) {
        return TableDelta.newBuilder()
                .setRevision(revision)
                .setWhole(true)
                .addHosts(HostRecord.newBuilder()
                        .setName("holder")
                        .setPeerAddress(holderAddress.toString())
                        .setZone("z2")
                        .setRegion("r")
                        .setEntry(true)
                        .setPhase(HostRecord.Phase.READY))
                .addLeaves(LeafRecord.newBuilder()
                        .setId("i-1")
                        .setService("s")
                        .setAddress(leafAddress.toString())
                        .setZone("z2")
                        .setSlots(2)
                        .setPhase(LeafRecord.Phase.READY))
                .build();
    }

    private static RoutingConfiguration configuration(long version, Teams teams) {
        return RoutingConfiguration.create(
                version,
                ImmutableList.of(
                        route("one", new RouteTarget.Single("s"), HomeRegions.ANY, false),
                        route("home", new RouteTarget.Single("s"), HomeRegions.of(List.of("r")), false),
                        route("public", new RouteTarget.Single("s"), HomeRegions.ANY, true),
                        route("all", new RouteTarget.Scatter(ImmutableList.of("s"), 5, 0.5), HomeRegions.ANY, false)),
                ImmutableMap.of("s", new LeafService("s", "/health", 26)),
                RequestLimits.DEFAULT,
                teams);
    }

    private static Route route(String name, RouteTarget target, HomeRegions homes, boolean isPublic) {
        Duration time = Duration.ofSeconds(1);
        return new Route(name, "h", "/" + name + "/", RequestKind.MUTATING, time, time, 5, 1, target, homes, isPublic);
    }

    private static Team team(String name, String... keys) {
        ImmutableSet.Builder<KeyDigest> digests = ImmutableSet.builder();
        for (String key : keys) {
            digests.add(KeyDigest.of(key));
        }
        return new Team(name, digests.build(), OptionalInt.of(3), RateLimit.NONE, HomeRegions.ANY);
    }

    private static HostAndPort freeAddress() throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return HostAndPort.fromParts("127.0.0.1", any.getLocalPort());
        }
    }

    /** Confirms whether the version of the host is the newest. */
    @FunctionalInterface
    private interface VersionCheck {
        void ask(Consumer<Boolean> callback);
    }
}
