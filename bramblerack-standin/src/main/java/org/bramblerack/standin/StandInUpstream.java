package org.bramblerack.standin;

import com.google.common.base.Strings;
import com.google.protobuf.ByteString;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.bramblerack.connection.UpstreamHeaders;
import org.bramblerack.request.CheckedReply;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamLimits;
import org.jspecify.annotations.Nullable;

/**
 * An upstream that implements the protocol of {@code docs/UPSTREAMS.md}, with configurable misbehaviour.
 *
 * <p>It processes as many calls at a time as it has slots, queues a limited number, refuses the rest, refuses
 * connections above its limit, honours deadlines and cancellations, and reports the index versions that it serves. The
 * queue and the running calls are confined to one event loop; behaviour and versions may be set from any thread.
 */
public final class StandInUpstream {
    private static final int MAX_QUEUED_CALLS = 64;
    private static final int REFUSED_STATUS = 503;
    private static final double SERVICE_TIME_JITTER = 0.4;
    private static final int PERCENT = 100;
    private static final int MICROS_PER_MILLI = 1_000;
    private static final int ITEMS_PER_SHARD = 3;

    private final Vertx vertx;
    private final Upstream upstream;
    private final UpstreamLimits limits;
    private final Ledger ledger;
    private final RandomGenerator random;
    private final Map<Long, ServedVersion> versions = new TreeMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Deque<Call> queue = new ArrayDeque<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final AtomicLong callCount = new AtomicLong();
    private final AtomicLong openedConnections = new AtomicLong();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicInteger maxConnections = new AtomicInteger();
    private volatile Behaviour behaviour;
    private int running;
    private @Nullable HttpServer server;

    /** Creates an upstream that listens only after {@link #start}. */
    public StandInUpstream(
            Vertx vertx,
            Upstream upstream,
            UpstreamLimits limits,
            Behaviour behaviour,
            Ledger ledger,
            RandomGenerator random) {
        this.vertx = vertx;
        this.upstream = upstream;
        this.limits = limits;
        this.behaviour = behaviour;
        this.ledger = ledger;
        this.random = random;
    }

    /** Returns the declared upstream that this one replaces. */
    public Upstream upstream() {
        return upstream;
    }

    /** Sets the behaviour and, if it is down, closes all connections. */
    public void setBehaviour(Behaviour next) {
        behaviour = next;
        if (next.down()) {
            closeConnections();
        }
    }

    public Behaviour behaviour() {
        return behaviour;
    }

    /** Adds an index version to those that the upstream serves. */
    public void addVersion(ServedVersion version) {
        synchronized (versions) {
            versions.put(version.indexVersion(), version);
        }
    }

    /** Removes an index version from those that the upstream serves. */
    public void removeVersion(long indexVersion) {
        synchronized (versions) {
            versions.remove(indexVersion);
        }
    }

    /** Returns how many calls were received. */
    public long calls() {
        return callCount.get();
    }

    /** Returns the total number of connections opened. */
    public long connectionsOpened() {
        return openedConnections.get();
    }

    /** Returns the highest number of connections open at the same time. */
    public int maxConnections() {
        return maxConnections.get();
    }

    /** Starts listening on the upstream's address. */
    public void start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(upstream.address().getHost())
                .setPort(upstream.address().getPort())
                .setTcpNoDelay(true);
        server = vertx.createHttpServer(options)
                .connectionHandler(this::onConnect)
                .requestHandler(this::handle);
        server.listen().toCompletionStage().toCompletableFuture().join();
    }

    /** Stops listening and closes the open connections. */
    public void stop() {
        if (server != null) {
            server.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private void onConnect(HttpConnection connection) {
        openedConnections.incrementAndGet();
        int open = openConnections.incrementAndGet();
        maxConnections.accumulateAndGet(open, Math::max);
        synchronized (connections) {
            connections.add(connection);
        }
        connection.closeHandler(closed -> {
            openConnections.decrementAndGet();
            synchronized (connections) {
                connections.remove(connection);
            }
        });
        if (behaviour.down()) {
            connection.close();
        } else if (open > limits.connections()) {
            ledger.recordRefusedConnection();
            connection.close();
        }
    }

    private void closeConnections() {
        Set<HttpConnection> open;
        synchronized (connections) {
            open = new HashSet<>(connections);
        }
        open.forEach(HttpConnection::close);
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(UpstreamHeaders.CALL_PATH) && request.method().equals(HttpMethod.POST)) {
            handleCall(request);
        } else if (request.path().startsWith(UpstreamHeaders.CANCEL_PATH)) {
            cancel(request.path().substring(UpstreamHeaders.CANCEL_PATH.length()));
            request.response().end();
        } else if (request.path().equals(UpstreamHeaders.REPORT_PATH)) {
            request.response().end(report());
        } else {
            request.response().setStatusCode(404).end();
        }
    }

    private void handleCall(HttpServerRequest request) {
        ledger.recordCall();
        callCount.incrementAndGet();
        Call call = new Call(request, System.nanoTime());
        if (behaviour.draining()) {
            refuse(call, LeafFailure.DRAINING);
        } else if (call.operation() == null && findVersion(call.indexVersion()) == null) {
            refuse(call, LeafFailure.VERSION_GONE);
        } else if (running < limits.slots()) {
            run(call);
        } else if (queue.size() < MAX_QUEUED_CALLS) {
            queue.addLast(call);
            calls.put(call.callId(), call);
        } else {
            refuse(call, LeafFailure.OVERLOADED);
        }
    }

    private void run(Call call) {
        running++;
        call.started = true;
        calls.put(call.callId(), call);
        if (call.operation() != null) {
            ledger.recordRun(call.requestId());
        }
        int micros = serviceMicros();
        long millis = Math.max(1, Math.round((double) micros / MICROS_PER_MILLI));
        call.timerId = vertx.setTimer(millis, fired -> finish(call));
    }

    private void finish(Call call) {
        running--;
        calls.remove(call.callId());
        ledger.recordFinished();
        if (!behaviour.silent()) {
            reply(call);
        }
        startQueued();
    }

    private void startQueued() {
        while (running < limits.slots() && !queue.isEmpty()) {
            Call call = queue.removeFirst();
            if (call.isExpired()) {
                calls.remove(call.callId());
                refuse(call, LeafFailure.EXPIRED);
            } else {
                run(call);
            }
        }
    }

    private void cancel(String callId) {
        Call call = calls.get(callId);
        if (call == null || (call.started && call.operation() != null)) {
            return;
        }
        calls.remove(callId);
        ledger.recordCancelled();
        refuse(call, LeafFailure.CANCELLED);
        if (call.started) {
            vertx.cancelTimer(call.timerId);
            running--;
            startQueued();
        } else {
            queue.remove(call);
        }
    }

    private void reply(Call call) {
        ServedVersion version =
                call.operation() == null ? findVersion(call.indexVersion()) : new ServedVersion(1, 0, 1);
        if (version == null) {
            refuse(call, LeafFailure.VERSION_GONE);
            return;
        }
        byte[] payload = payload(call, version).toBuffer().getBytes();
        ByteString fullPayload = ByteString.copyFrom(payload);
        int sent = behaviour.truncating() ? payload.length / 2 : payload.length;
        HttpServerResponse response = call.request().response();
        if (!response.closed()) {
            response.putHeader(UpstreamHeaders.CALL_ID, call.callId())
                    .putHeader(UpstreamHeaders.SHARD, Integer.toString(version.shard()))
                    .putHeader(UpstreamHeaders.SHARD_COUNT, Integer.toString(version.shardCount()))
                    .putHeader(UpstreamHeaders.INDEX_VERSION, Long.toString(version.indexVersion()))
                    .putHeader(UpstreamHeaders.LENGTH_BYTES, Integer.toString(payload.length))
                    .putHeader(UpstreamHeaders.CHECKSUM, Integer.toHexString(CheckedReply.checksum(fullPayload)))
                    .end(Buffer.buffer(payload).slice(0, sent));
        }
    }

    private JsonObject payload(Call call, ServedVersion version) {
        if (call.operation() != null) {
            return new JsonObject()
                    .put("done", call.operation())
                    .put("by", upstream.name().upstream());
        }
        JsonArray items = new JsonArray();
        for (int item = 0; item < ITEMS_PER_SHARD; item++) {
            String name = "v" + version.indexVersion() + "-s" + version.shard() + "-" + item;
            items.add(Strings.padEnd(name, behaviour.itemBytes(), '.'));
        }
        return new JsonObject().put("items", items);
    }

    private void refuse(Call call, LeafFailure failure) {
        ledger.recordRefused();
        HttpServerResponse response = call.request().response();
        if (!response.closed() && !response.ended()) {
            response.setStatusCode(REFUSED_STATUS)
                    .putHeader(UpstreamHeaders.CALL_ID, call.callId())
                    .putHeader(UpstreamHeaders.REFUSAL, failure.code())
                    .end();
        }
    }

    private Buffer report() {
        JsonArray served = new JsonArray();
        synchronized (versions) {
            versions.values()
                    .forEach(version -> served.add(new JsonObject()
                            .put("indexVersion", version.indexVersion())
                            .put("shard", version.shard())
                            .put("shardCount", version.shardCount())));
        }
        return new JsonObject()
                .put("draining", behaviour.draining())
                .put("load", (double) running / limits.slots())
                .put("versions", served)
                .toBuffer();
    }

    private @Nullable ServedVersion findVersion(long indexVersion) {
        synchronized (versions) {
            return versions.get(indexVersion);
        }
    }

    private int serviceMicros() {
        Behaviour current = behaviour;
        boolean straggles = random.nextDouble() * PERCENT < current.stragglePercent();
        int base = straggles ? current.serviceMicros() * current.straggleFactor() : current.serviceMicros();
        return (int) (base * (1 - SERVICE_TIME_JITTER + 2 * SERVICE_TIME_JITTER * random.nextDouble()));
    }

    /** A received call, queued or running. */
    private static final class Call {
        private final HttpServerRequest request;
        private final long arrivedNanos;
        private boolean started;
        private long timerId;

        Call(HttpServerRequest request, long arrivedNanos) {
            this.request = request;
            this.arrivedNanos = arrivedNanos;
        }

        HttpServerRequest request() {
            return request;
        }

        String callId() {
            return header(UpstreamHeaders.CALL_ID, "");
        }

        String requestId() {
            return header(UpstreamHeaders.REQUEST_ID, "");
        }

        @Nullable
        String operation() {
            return request.getHeader(UpstreamHeaders.OPERATION);
        }

        long indexVersion() {
            return Long.parseLong(header(UpstreamHeaders.INDEX_VERSION, "0"));
        }

        boolean isExpired() {
            long deadlineMillis = Long.parseLong(header(UpstreamHeaders.DEADLINE_MILLIS, "0"));
            long waitedMillis = (System.nanoTime() - arrivedNanos) / 1_000_000;
            return deadlineMillis > 0 && waitedMillis >= deadlineMillis;
        }

        private String header(String name, String fallback) {
            String value = request.getHeader(name);
            return value == null ? fallback : value;
        }
    }
}
