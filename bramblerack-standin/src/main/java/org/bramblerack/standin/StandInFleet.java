package org.bramblerack.standin;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.Service;
import org.bramblerack.version.ServiceKind;
import org.bramblerack.version.Upstream;
import org.jspecify.annotations.Nullable;

/**
 * Stand-ins for all upstreams of a declaration, with an HTTP interface that sets their behaviour.
 *
 * <p>Can be started and stopped once. Safe for use by many threads.
 */
public final class StandInFleet {
    /** The index version that all upstreams serve initially. */
    public static final long FIRST_VERSION = 7;

    private static final int NETWORK_THREADS = 3;
    private static final int BAD_REQUEST = 400;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(NETWORK_THREADS));
    private final Ledger ledger = new Ledger();
    private final ImmutableMap<String, StandInUpstream> upstreams;
    private final Declaration declaration;

    /** Creates the stand-ins of a declaration; they listen only after {@link #start}. */
    public StandInFleet(Declaration declaration, int serviceMicros, long seed) {
        this.declaration = declaration;
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, StandInUpstream> built = new TreeMap<>();
        for (Service service : declaration.services().values()) {
            for (Upstream upstream : service.upstreams()) {
                StandInUpstream standIn = new StandInUpstream(
                        vertx, upstream, service.limits(), Behaviour.healthy(serviceMicros), ledger, random.split());
                int shards = service.kind() == ServiceKind.SHARDED ? service.shards() : 1;
                standIn.addVersion(new ServedVersion(FIRST_VERSION, upstream.shard(), shards));
                built.put(upstream.name().toString(), standIn);
            }
        }
        this.upstreams = ImmutableMap.copyOf(built);
    }

    /** Starts listening on every upstream's address. */
    public void start() {
        upstreams.values().forEach(StandInUpstream::start);
    }

    /** Starts the HTTP interface that sets the behaviour and returns the ledger. */
    public void startControl(HostAndPort address) {
        HttpServer server = vertx.createHttpServer(
                new HttpServerOptions().setHost(address.getHost()).setPort(address.getPort()));
        server.requestHandler(this::handleControl)
                .listen()
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    /** Closes all servers and connections. */
    public void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    public Ledger ledger() {
        return ledger;
    }

    /** Returns the stand-ins whose full name starts with a prefix. */
    public ImmutableList<StandInUpstream> matching(String prefix) {
        return upstreams.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .map(Map.Entry::getValue)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the highest number of connections that any upstream with a name prefix had open at the same time. */
    public int maxConnections(String prefix) {
        return matching(prefix).stream()
                .mapToInt(StandInUpstream::maxConnections)
                .max()
                .orElse(0);
    }

    /** Returns the total number of connections opened to all upstreams. */
    public long connectionsOpened() {
        return upstreams.values().stream()
                .mapToLong(StandInUpstream::connectionsOpened)
                .sum();
    }

    /** Adds an index version to every upstream of a sharded service, optionally in place of another version. */
    public void serveVersion(String service, long indexVersion, Optional<Long> replacedVersion) {
        Service declared = declaration.services().get(service);
        if (declared == null) {
            return;
        }
        for (StandInUpstream upstream : matching(declared.name() + "/")) {
            upstream.addVersion(
                    new ServedVersion(indexVersion, upstream.upstream().shard(), declared.shards()));
            replacedVersion.ifPresent(upstream::removeVersion);
        }
    }

    private void handleControl(HttpServerRequest request) {
        request.body().onSuccess(body -> {
            switch (request.path()) {
                case "/ledger" -> request.response().end(ledgerJson(request).toBuffer());
                case "/behaviour" -> respond(request, setBehaviour(body.toJsonObject()));
                case "/version" -> respond(request, setVersion(body.toJsonObject()));
                default -> respond(request, false);
            }
        });
    }

    private boolean setBehaviour(JsonObject change) {
        UnaryOperator<Behaviour> operator = operatorOf(change);
        ImmutableList<StandInUpstream> targets = matching(change.getString("upstream", "?"));
        if (operator == null) {
            return false;
        }
        targets.forEach(target -> target.setBehaviour(operator.apply(target.behaviour())));
        return !targets.isEmpty();
    }

    private static @Nullable UnaryOperator<Behaviour> operatorOf(JsonObject change) {
        boolean value = change.getBoolean("value", true);
        return switch (change.getString("set", "")) {
            case "down" -> behaviour -> behaviour.withDown(value);
            case "draining" -> behaviour -> behaviour.withDraining(value);
            case "silent" -> behaviour -> behaviour.withSilent(value);
            case "truncating" -> behaviour -> behaviour.withTruncating(value);
            case "straggle" ->
                behaviour -> behaviour.withStragglers(
                        value ? change.getDouble("percent", 100.0) : 0, change.getInteger("factor", 20));
            default -> null;
        };
    }

    private boolean setVersion(JsonObject change) {
        serveVersion(
                change.getString("service", ""),
                change.getLong("indexVersion", FIRST_VERSION),
                Optional.ofNullable(change.getLong("instead")));
        return true;
    }

    private JsonObject ledgerJson(HttpServerRequest request) {
        String requestId = request.getParam("requestId");
        String prefix = request.getParam("upstream");
        long upstreamCalls = matching(prefix == null ? "" : prefix).stream()
                .mapToLong(StandInUpstream::calls)
                .sum();
        return new JsonObject()
                .put("calls", ledger.calls())
                .put("upstreamCalls", upstreamCalls)
                .put("finished", ledger.finished())
                .put("cancelled", ledger.cancelled())
                .put("refused", ledger.refused())
                .put("refusedConnections", ledger.refusedConnections())
                .put("mostConnections", maxConnections(prefix == null ? "" : prefix))
                .put("mostRuns", ledger.maxRuns())
                .put("runs", requestId == null ? 0 : ledger.runCount(requestId));
    }

    private static void respond(HttpServerRequest request, boolean done) {
        request.response().setStatusCode(done ? 200 : BAD_REQUEST).end();
    }
}
