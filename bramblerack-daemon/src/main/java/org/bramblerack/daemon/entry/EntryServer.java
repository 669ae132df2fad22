package org.bramblerack.daemon.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.vavr.control.Either;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpConnection;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.lang.System.Logger;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.bramblerack.daemon.http.CallerConnections;
import org.bramblerack.daemon.lifecycle.BoundedStop;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.request.Refusal;
import org.bramblerack.request.RefusalKind;
import org.bramblerack.request.RequestId;
import org.bramblerack.version.ServiceName;
import org.bramblerack.wire.Claim;
import org.bramblerack.wire.ControlReadResult;
import org.bramblerack.wire.OutcomeKind;
import org.jspecify.annotations.Nullable;

/**
 * The HTTP interface for callers and operators, described in {@code docs/API.md}.
 *
 * <p>A request that cannot be parsed gets a typed refusal and affects no other request. The sizes of bodies and headers
 * and the depth of JSON are bounded. Started once and stopped once; safe for use by many threads.
 */
public final class EntryServer {
    private static final Logger LOGGER = System.getLogger(EntryServer.class.getName());
    private static final long MAX_QUERY_BYTES = 1024L * 1024;
    private static final long MAX_DECLARATION_BYTES = 8L * 1024 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int IDLE_SECONDS = 60;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TOO_LARGE = 413;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final String JSON = "application/json";
    private static final Duration OVERDUE_GRACE = Duration.ofSeconds(2);
    private static final Refusal QUERY_CUT_SHORT = Refusal.of(
            RefusalKind.INCOMPLETE, "this host stops before all shards have answered; send the query to another");
    private static final Refusal READ_CUT_SHORT =
            Refusal.of(RefusalKind.READ_UNAVAILABLE, "this host stops before the answer is known; ask another");
    private static final Refusal CHANGE_CUT_SHORT = Refusal.of(
            RefusalKind.CHANGE_UNKNOWN,
            "this host stops before it is known whether the change was accepted; send it to another with the same "
                    + OperatorApi.CHANGE_ID_HEADER);
    private static final Refusal OPERATION_CUT_SHORT = Refusal.of(
            RefusalKind.OUTCOME_UNKNOWN,
            "this host stops before the outcome is known; look it up by its request identifier");

    private final Vertx vertx;
    private final HostAndPort address;
    private final QueryRunner queries;
    private final OnceOnlyRunner operations;
    private final OperatorApi operators;
    private final HostMetrics metrics;
    private final InstantSource wallClock;
    private final Supplier<StoppingState> stopping;
    private final Supplier<Boolean> ready;
    private final CallerConnections connections;
    /** The requests in progress, with the refusals of those that the host cannot finish before it stops. */
    private final Map<RoutingContext, Refusal> inProgress = new ConcurrentHashMap<>();

    private volatile @Nullable Channel listening;
    private @Nullable HttpServer server;

    /** Creates a server that does not listen yet. */
    public EntryServer(
            Vertx vertx,
            HostAndPort address,
            QueryRunner queries,
            OnceOnlyRunner operations,
            OperatorApi operators,
            HostMetrics metrics,
            MonotonicClock clock,
            InstantSource wallClock,
            Supplier<StoppingState> stopping,
            Supplier<Boolean> ready) {
        this.vertx = vertx;
        this.address = address;
        this.queries = queries;
        this.operations = operations;
        this.operators = operators;
        this.metrics = metrics;
        this.wallClock = wallClock;
        this.stopping = stopping;
        this.ready = ready;
        this.connections = new CallerConnections(clock);
    }

    /** Starts to listen. */
    public synchronized void start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(address.getHost())
                .setPort(address.getPort())
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setIdleTimeout(IDLE_SECONDS)
                .setTcpNoDelay(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(this::onConnect)
                .requestHandler(router())
                .listenAndAwait();
    }

    /** Returns the port that the server listens on. */
    public synchronized int port() {
        return server == null ? address.getPort() : server.actualPort();
    }

    /** Begins to stop: from now on, the answer to the last request of a connection closes it. */
    public void beginStop() {
        connections.beginStop();
    }

    /** Closes the connections on which no request is in flight and that have not been used for a while. */
    public void closeIdle() {
        connections.closeIdle();
    }

    /** Returns the number of connections with a request that is read in part, in progress or not answered in full. */
    public int inFlight() {
        return connections.inFlight();
    }

    /** Refuses the requests in progress, of which it is not known whether they have run, and those read in part. */
    public void refuseInProgress() {
        ImmutableMap.copyOf(inProgress).forEach((context, refusal) -> {
            if (inProgress.remove(context) != null) {
                refuse(context, refusal);
            }
        });
        connections.endWaiting();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.count();
    }

    /** Stops listening; connections that were accepted remain open. */
    public void stopListening() {
        Channel channel = listening;
        if (channel != null) {
            channel.close();
        }
    }

    /** Stops listening and closes every connection at once. */
    public synchronized void stop() {
        connections.closeNow();
        if (server != null) {
            BoundedStop.await(server.close(), "the server for callers");
            server = null;
        }
    }

    /** Vert.x can close a server only with its connections, so that the channel that listens is closed directly. */
    private void onConnect(HttpConnection connection) {
        ChannelHandlerContext handler = ((ConnectionBase) connection.getDelegate()).channelHandlerContext();
        listening = handler.channel().parent();
        connections.track(handler.pipeline(), handler.name(), MAX_HEADER_BYTES);
    }

    private Router router() {
        Router router = Router.router(vertx);
        BodyHandler body = BodyHandler.create(false).setBodyLimit(MAX_QUERY_BYTES);
        BodyHandler largeBody = BodyHandler.create(false).setBodyLimit(MAX_DECLARATION_BYTES);
        router.get("/health/live").handler(context -> send(context, STATUS_OK, "{\"live\":true}"));
        router.get("/health/ready").handler(this::sendReadiness);
        router.get("/metrics").handler(this::sendMetrics);
        router.post("/v1/query/:partner/:service").handler(body).handler(this::handleQuery);
        router.post("/v1/operation/:partner/:service/:operation").handler(body).handler(this::handleOperation);
        router.get("/v1/*").handler(context -> track(context, READ_CUT_SHORT));
        router.get("/v1/operation/:partner/:service/:requestId").handler(this::handleLookUp);
        router.get("/v1/status").handler(operators::status);
        router.get("/v1/history").handler(operators::history);
        router.get("/v1/declaration/:partner").handler(operators::declaration);
        router.put("/v1/declaration/:partner")
                .handler(largeBody)
                .handler(context -> track(context, CHANGE_CUT_SHORT))
                .handler(operators::apply);
        router.errorHandler(STATUS_NOT_FOUND, this::refuseUnknownPath);
        router.errorHandler(STATUS_METHOD_NOT_ALLOWED, this::refuseUnknownPath);
        router.errorHandler(STATUS_TOO_LARGE, this::refuseTooLarge);
        router.route().failureHandler(this::handleFailure);
        return router;
    }

    /** Passes a request on after recording the refusal that it gets if the host ends before the answer. */
    private void track(RoutingContext context, Refusal refusal) {
        inProgress.put(context, refusal);
        context.addEndHandler()
                .subscribe()
                .with(ended -> inProgress.remove(context), failure -> inProgress.remove(context));
        context.next();
    }

    private void handleQuery(RoutingContext context) {
        if (refuseIfStopping(context)) {
            return;
        }
        Optional<ServiceName> service = parseService(context);
        if (service.isEmpty()) {
            return;
        }
        Either<Refusal, CallerQuery> query = CallerBodies.readQuery(service.get(), bodyBytes(context));
        if (query.isLeft()) {
            refuse(context, query.getLeft());
            return;
        }
        inProgress.put(context, QUERY_CUT_SHORT);
        QueryRunner.Handle handle = queries.run(query.get(), result -> sendResult(context, query.get(), result));
        context.request().connection().closeHandler(() -> {
            inProgress.remove(context);
            handle.callerGone();
        });
    }

    private void sendResult(RoutingContext context, CallerQuery query, QueryResult result) {
        if (inProgress.remove(context) == null) {
            return;
        }
        if (result instanceof QueryResult.Answered answered) {
            send(context, STATUS_OK, AnswerWriter.answer(query, answered.answer()));
        } else if (result instanceof QueryResult.Refused refused) {
            sendRefusal(
                    context, refused.refusal(), Optional.of(query.requestId().value()));
        }
    }

    private void handleOperation(RoutingContext context) {
        if (refuseIfStopping(context)) {
            return;
        }
        Optional<ServiceName> service = parseService(context);
        if (service.isEmpty()) {
            return;
        }
        Either<Refusal, CallerOperation> operation =
                CallerBodies.readOperation(service.get(), context.pathParam("operation"), bodyBytes(context));
        if (operation.isLeft()) {
            refuse(context, operation.getLeft());
            return;
        }
        inProgress.put(context, OPERATION_CUT_SHORT);
        operations.run(operation.get(), result -> {
            if (inProgress.remove(context) == null) {
                return;
            }
            Optional<String> requestId = Optional.of(operation.get().requestId().value());
            if (result instanceof QueryResult.Ran ran) {
                send(context, STATUS_OK, AnswerWriter.ran(operation.get(), ran.answer(), ran.replayed()));
            } else if (result instanceof QueryResult.Refused refused) {
                sendRefusal(context, refused.refusal(), requestId);
            }
        });
    }

    private void handleLookUp(RoutingContext context) {
        Optional<ServiceName> service = parseService(context);
        String requestId = context.pathParam("requestId");
        if (service.isEmpty()) {
            return;
        }
        if (!RequestId.isValid(requestId)) {
            refuse(context, Refusal.of(RefusalKind.BAD_REQUEST, "the request identifier is malformed; correct it"));
            return;
        }
        operations.lookUp(service.get().toString(), requestId, found -> sendOutcome(context, requestId, found));
    }

    private void sendOutcome(RoutingContext context, String requestId, Optional<ControlReadResult> found) {
        if (found.isEmpty()) {
            refuse(
                    context,
                    Refusal.of(
                            RefusalKind.READ_UNAVAILABLE,
                            "no quorum of control hosts answered; look it up again later"));
        } else if (found.get().hasClaim()) {
            Claim claim = found.get().getClaim();
            send(context, STATUS_OK, AnswerWriter.outcome(requestId, claim, outcomeOf(claim)));
        } else if (found.get().getForgotten()) {
            refuse(context, Refusal.of(RefusalKind.EXPIRED, "the outcome is no longer kept; check with the service"));
        } else {
            refuse(
                    context,
                    Refusal.of(RefusalKind.UNKNOWN_REQUEST, "no such request is claimed so far; check its identifier"));
        }
    }

    /**
     * Returns the outcome of a claim. A claim still in progress after its deadline and {@link #OVERDUE_GRACE} has an
     * unknown outcome.
     */
    private String outcomeOf(Claim claim) {
        long endedMillis = claim.getAtMillis() + claim.getDeadlineMillis() + OVERDUE_GRACE.toMillis();
        boolean overdue = claim.getKind() == OutcomeKind.IN_PROGRESS && wallClock.millis() > endedMillis;
        return switch (claim.getKind()) {
            case RAN -> "ran";
            case NOT_RUN -> "not-run";
            case IN_PROGRESS -> overdue ? "unknown" : "in-progress";
            default -> "unknown";
        };
    }

    private void sendReadiness(RoutingContext context) {
        boolean takesRequests = ready.get() && stopping.get() == StoppingState.RUNNING;
        send(context, takesRequests ? STATUS_OK : STATUS_UNAVAILABLE, "{\"ready\":" + takesRequests + "}");
    }

    private void sendMetrics(RoutingContext context) {
        context.response().putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8");
        context.response().endAndForget(metrics.toText());
    }

    private boolean refuseIfStopping(RoutingContext context) {
        if (stopping.get() == StoppingState.FINISHING) {
            refuse(context, Refusals.STOPPING);
            return true;
        }
        return false;
    }

    private Optional<ServiceName> parseService(RoutingContext context) {
        try {
            return Optional.of(new ServiceName(context.pathParam("partner"), context.pathParam("service")));
        } catch (IllegalArgumentException malformed) {
            refuse(context, Refusal.of(RefusalKind.BAD_REQUEST, "the path names no service; correct it"));
            return Optional.empty();
        }
    }

    private void refuseUnknownPath(RoutingContext context) {
        refuse(
                context,
                Refusal.of(RefusalKind.UNKNOWN_PATH, "there is nothing at this path and method; see docs/API.md"));
    }

    private void refuseTooLarge(RoutingContext context) {
        refuse(
                context,
                Refusal.of(RefusalKind.TOO_LARGE, "the body is larger than " + MAX_QUERY_BYTES + " bytes; send less"));
    }

    private void handleFailure(RoutingContext context) {
        if (context.statusCode() == STATUS_TOO_LARGE) {
            refuseTooLarge(context);
        } else if (context.failure() instanceof HttpClosedException) {
            LOGGER.log(Logger.Level.DEBUG, "a caller closed the connection within a request");
        } else if (context.failure() != null) {
            LOGGER.log(
                    Logger.Level.ERROR,
                    "a request failed with an unexpected exception; please report it as a bug",
                    context.failure());
            refuse(context, Refusal.of(RefusalKind.INTERNAL, "the host failed; please report it"));
        } else {
            refuse(context, Refusal.of(RefusalKind.BAD_REQUEST, "the request is malformed; correct it"));
        }
    }

    private void refuse(RoutingContext context, Refusal refusal) {
        metrics.count(refusal.kind());
        sendRefusal(context, refusal, Optional.empty());
    }

    private static void sendRefusal(RoutingContext context, Refusal refusal, Optional<String> requestId) {
        sendRefusal(context, refusal, requestId, ImmutableList.of());
    }

    static void sendRefusal(
            RoutingContext context,
            Refusal refusal,
            Optional<String> requestId,
            ImmutableList<ValidationError> errors) {
        refusal.retryAfter()
                .ifPresent(after ->
                        context.response().putHeader("Retry-After", Long.toString(Math.max(1, after.toSeconds()))));
        send(context, refusal.kind().httpStatus(), AnswerWriter.refusal(refusal, requestId, errors));
    }

    static void send(RoutingContext context, int status, byte[] json) {
        if (!context.response().ended() && !context.response().closed()) {
            context.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", JSON)
                    .endAndForget(Buffer.buffer(json));
        }
    }

    private static void send(RoutingContext context, int status, String json) {
        send(context, status, json.getBytes(StandardCharsets.UTF_8));
    }

    private static byte[] bodyBytes(RoutingContext context) {
        Buffer body = context.body().buffer();
        return body == null ? new byte[0] : body.getBytes();
    }
}
