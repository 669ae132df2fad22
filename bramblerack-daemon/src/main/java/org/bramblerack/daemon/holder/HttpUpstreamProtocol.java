package org.bramblerack.daemon.holder;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.netty.channel.ConnectTimeoutException;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpClient;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.lang.System.Logger;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeoutException;
import org.bramblerack.connection.UpstreamHeaders;
import org.bramblerack.request.LeafFailure;
import org.bramblerack.request.LeafOutcome;
import org.bramblerack.request.LeafReply;
import org.bramblerack.request.LeafRequest;
import org.bramblerack.version.ServedVersion;
import org.bramblerack.version.Upstream;
import org.bramblerack.version.UpstreamReport;

/**
 * Implements the upstream protocol over HTTP, as described in {@code docs/UPSTREAMS.md}.
 *
 * <p>One connection of the share carries reports and cancellations, the others carry calls. Safe for use by many
 * threads.
 */
public final class HttpUpstreamProtocol implements UpstreamProtocol {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int KEEP_ALIVE_SECONDS = 20;
    private static final Logger LOGGER = System.getLogger(HttpUpstreamProtocol.class.getName());
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(400);
    /** Longer than {@link #REPORT_TIMEOUT}, after which the response may still arrive. */
    private static final Duration MAX_REPORT_TIME = Duration.ofSeconds(2);

    private static final Duration MAX_CALL_TIME = Duration.ofSeconds(60);
    private static final long MAX_REPORT_BYTES = 1024 * 1024;
    private static final long MAX_REPLY_BYTES = 16 * 1024 * 1024;
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(20);
    private static final int STATUS_OK = 200;
    private static final int HEXADECIMAL_RADIX = 16;

    private final Upstream upstream;
    private final WebClient callClient;
    private final WebClient controlClient;
    private final int callConnections;

    /** Creates the protocol; connections are opened on demand. */
    public HttpUpstreamProtocol(Vertx vertx, Upstream upstream, int connections) {
        this.upstream = upstream;
        this.callConnections = Math.max(1, connections - 1);
        this.callClient = client(vertx, callConnections, MAX_REPLY_BYTES, MAX_CALL_TIME);
        this.controlClient = connections > 1 ? client(vertx, 1, MAX_REPORT_BYTES, MAX_REPORT_TIME) : callClient;
    }

    @Override
    public Uni<LeafOutcome> call(LeafRequest request, Duration remaining) {
        HttpRequest<Buffer> call = callClient
                .post(upstream.address().getPort(), upstream.address().getHost(), UpstreamHeaders.CALL_PATH)
                .timeout(remaining.plus(TIMEOUT_MARGIN).toMillis())
                .putHeader(UpstreamHeaders.CALL_ID, request.callId())
                .putHeader(UpstreamHeaders.REQUEST_ID, request.requestId())
                .putHeader(UpstreamHeaders.SHARD, Integer.toString(request.shard()))
                .putHeader(UpstreamHeaders.INDEX_VERSION, Long.toString(request.indexVersion()))
                .putHeader(UpstreamHeaders.DEADLINE_MILLIS, Long.toString(Math.max(1, remaining.toMillis())))
                .putHeader(UpstreamHeaders.PRIORITY, request.priority().name().toLowerCase(Locale.ROOT));
        if (!request.operation().isEmpty()) {
            call.putHeader(UpstreamHeaders.OPERATION, request.operation());
        }
        return call.sendBuffer(Buffer.buffer(request.body().toByteArray()))
                .map(response -> toOutcome(request, response))
                .onFailure()
                .recoverWithItem(failure -> new LeafOutcome.Failed(classify(failure)));
    }

    @Override
    public void cancel(String callId) {
        controlClient
                .post(upstream.address().getPort(), upstream.address().getHost(), UpstreamHeaders.CANCEL_PATH + callId)
                .timeout(REPORT_TIMEOUT.toMillis())
                .send()
                .subscribe()
                .with(response -> {}, failure -> logFailure("cancel " + callId, failure));
    }

    @Override
    public Uni<UpstreamReport> report() {
        return reportOver(controlClient);
    }

    @Override
    public Uni<Boolean> acceptsConnections() {
        return reportOver(controlClient)
                .map(report -> true)
                .onFailure()
                .recoverWithItem(failure -> !(failure instanceof ConnectException));
    }

    @Override
    public void openConnections() {
        for (int connection = 0; connection < callConnections; connection++) {
            reportOver(callClient)
                    .subscribe()
                    .with(report -> {}, failure -> logFailure("open a connection in advance", failure));
        }
    }

    /** Logs the failure of an optional action. Calls still end at their deadlines, and connections open on demand. */
    private void logFailure(String action, Throwable failure) {
        LOGGER.log(
                Logger.Level.DEBUG, "upstream {0}: could not {1}: {2}", upstream.name(), action, failure.getMessage());
    }

    @Override
    public void close() {
        callClient.close();
        controlClient.close();
    }

    private Uni<UpstreamReport> reportOver(WebClient client) {
        return client.get(upstream.address().getPort(), upstream.address().getHost(), UpstreamHeaders.REPORT_PATH)
                .timeout(REPORT_TIMEOUT.toMillis())
                .send()
                .map(HttpUpstreamProtocol::toReport);
    }

    private static WebClient client(Vertx vertx, int connections, long maxBodyBytes, Duration maxTime) {
        WebClientOptions options = options(connections);
        HttpClient client = vertx.httpClientBuilder()
                .with(options)
                .withConnectHandler(connection -> {
                    ResponseLimit.install(connection, maxBodyBytes, maxTime);
                    CloseDelimitedResponses.install(connection);
                })
                .build();
        return WebClient.wrap(client, options);
    }

    private static WebClientOptions options(int connections) {
        WebClientOptions options = new WebClientOptions();
        options.setProtocolVersion(HttpVersion.HTTP_1_1);
        options.setMaxPoolSize(connections);
        options.setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
        options.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        options.setTcpNoDelay(true);
        options.setFollowRedirects(false);
        options.setUserAgentEnabled(false);
        return options;
    }

    private static LeafOutcome toOutcome(LeafRequest request, HttpResponse<Buffer> response) {
        String refusal = response.getHeader(UpstreamHeaders.REFUSAL);
        if (refusal != null) {
            return new LeafOutcome.Failed(
                    isRefusalOf(request, response) ? parseRefusal(refusal) : LeafFailure.MISDIRECTED);
        }
        if (response.statusCode() != STATUS_OK) {
            return new LeafOutcome.Failed(LeafFailure.UPSTREAM_ERROR);
        }
        try {
            return new LeafOutcome.Replied(toReply(response));
        } catch (IllegalArgumentException malformed) {
            return new LeafOutcome.Failed(LeafFailure.UPSTREAM_ERROR);
        }
    }

    /**
     * Returns false for a refusal of another call, and for one that is mixed up with a reply, as when an upstream
     * breaks off a refusal and then replies to the next call on the same connection: that call has run.
     */
    private static boolean isRefusalOf(LeafRequest request, HttpResponse<Buffer> response) {
        return request.callId().equals(response.getHeader(UpstreamHeaders.CALL_ID))
                && response.getHeader(UpstreamHeaders.CHECKSUM) == null;
    }

    private static LeafReply toReply(HttpResponse<Buffer> response) {
        Buffer body = response.body();
        ByteString payload = body == null ? ByteString.EMPTY : ByteString.copyFrom(body.getBytes());
        ServedVersion served = new ServedVersion(
                Long.parseLong(requiredHeader(response, UpstreamHeaders.INDEX_VERSION)),
                Integer.parseInt(requiredHeader(response, UpstreamHeaders.SHARD)),
                Integer.parseInt(requiredHeader(response, UpstreamHeaders.SHARD_COUNT)));
        return new LeafReply(
                requiredHeader(response, UpstreamHeaders.CALL_ID),
                served,
                Long.parseLong(requiredHeader(response, UpstreamHeaders.LENGTH_BYTES)),
                Integer.parseUnsignedInt(requiredHeader(response, UpstreamHeaders.CHECKSUM), HEXADECIMAL_RADIX),
                payload);
    }

    private static LeafFailure parseRefusal(String code) {
        for (LeafFailure failure : LeafFailure.values()) {
            if (failure.isCertainlyNotRun() && failure.code().equals(code)) {
                return failure;
            }
        }
        return LeafFailure.UPSTREAM_ERROR;
    }

    private static UpstreamReport toReport(HttpResponse<Buffer> response) {
        if (response.statusCode() != STATUS_OK) {
            throw new DecodeException("the upstream's report has status " + response.statusCode());
        }
        try {
            JsonObject report = response.bodyAsJsonObject();
            ImmutableSet.Builder<ServedVersion> served = ImmutableSet.builder();
            JsonArray versions = report.getJsonArray("versions", new JsonArray());
            for (int position = 0; position < versions.size(); position++) {
                JsonObject version = versions.getJsonObject(position);
                served.add(new ServedVersion(
                        version.getLong("indexVersion"),
                        version.getInteger("shard"),
                        version.getInteger("shardCount")));
            }
            return new UpstreamReport(report.getBoolean("draining", false), served.build());
        } catch (RuntimeException malformed) {
            throw new DecodeException("the upstream's report is malformed: " + malformed.getMessage(), malformed);
        }
    }

    private static String requiredHeader(HttpResponse<Buffer> response, String header) {
        String value = response.getHeader(header);
        checkArgument(value != null, "the reply lacks the header %s", header);
        return value;
    }

    private static LeafFailure classify(Throwable failure) {
        if (failure instanceof ConnectException || failure instanceof ConnectTimeoutException) {
            return LeafFailure.CONNECT_FAILED;
        }
        if (failure instanceof ConnectionPoolTooBusyException) {
            return LeafFailure.QUEUE_FULL;
        }
        if (failure instanceof TimeoutException) {
            return LeafFailure.TIMED_OUT;
        }
        return LeafFailure.CONNECTION_LOST;
    }
}
