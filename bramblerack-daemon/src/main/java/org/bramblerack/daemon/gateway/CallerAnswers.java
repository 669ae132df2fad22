package org.bramblerack.daemon.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.http.HttpExchange;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.leaf.LeafAnswer;
import org.bramblerack.daemon.leaf.LeafRequest;
import org.bramblerack.request.admission.RetryAfterJitter;
import org.bramblerack.request.routed.CallerCheck;
import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;

/** Writes the answer to one caller. Owned by the event loop. */
final class CallerAnswers implements AnswerSink {
    private static final int OK = 200;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    /** Decimal places of seconds in the Retry-After field. */
    private static final int MILLIS_SCALE = 3;
    /** Omits the Retry-After field, since a retry would get the same answer. */
    private static final Duration NO_RETRY = Duration.ZERO;
    /** Covers the time in which a change of the tables reaches this host. */
    private static final Duration RETRY_TABLE_CHANGE = Duration.ofMillis(200);
    /** Delay after a start of the fleet, when a host needs about a second to receive its tables. */
    private static final Duration RETRY_NOT_READY = Duration.ofMillis(700);
    /** Short, since the next request goes to another host: this host closes the connection with each answer. */
    private static final Duration RETRY_STOPPING = Duration.ofMillis(40);
    /** Delay after leaves were full or late: a few times the duration of a request. */
    private static final Duration RETRY_BUSY = Duration.ofMillis(70);

    /**
     * Delay while another arrival of a suspect request is on trial: a fraction of the maximum duration of a trial,
     * since an answer to that arrival lets others through at once.
     */
    private static final Duration RETRY_ON_TRIAL = Duration.ofMillis(350);
    /**
     * Delay for quarantined requests. They stay quarantined for an hour, but one that was quarantined in error is
     * cleared within seconds.
     */
    private static final Duration RETRY_HARMFUL = Duration.ofSeconds(60);

    private final HttpExchange exchange;
    private final CallHeaders names;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private Runnable onNotRun = () -> {};
    private Runnable onDisconnected = () -> {};
    private Runnable onSurvival = () -> {};
    private Runnable onRun = () -> {};

    CallerAnswers(HttpExchange exchange, CallHeaders names, GatewayMetrics metrics, RandomGenerator random) {
        this.exchange = exchange;
        this.names = names;
        this.metrics = metrics;
        this.random = random;
    }

    @Override
    public void deliver(MergedAnswer answer) {
        FullHttpResponse response = HttpExchange.response(
                OK, Unpooled.wrappedBuffer(answer.records().asReadOnlyByteBuffer()));
        response.headers().set(names.partSignatures(), String.join(", ", answer.signatures()));
        if (answer.missing() > 0) {
            response.headers().setInt(names.missingParts(), answer.missing());
        }
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
        onRun.run();
        metrics.recordMergedAnswer(answer.missing());
        metrics.recordAnswer(exchange.receivedNanos());
        exchange.respond(response);
    }

    /** Forwards the answer of a leaf. */
    void forward(LeafAnswer answer) {
        FullHttpResponse response = HttpExchange.response(
                answer.status(), Unpooled.wrappedBuffer(answer.body().asReadOnlyByteBuffer()));
        LeafRequest.copyEndToEnd(answer.headers(), response.headers());
        onRun.run();
        metrics.recordForwardedAnswer(answer.status());
        if (answer.showsSurvival()) {
            onSurvival.run();
        }
        metrics.recordAnswer(exchange.receivedNanos());
        exchange.respond(response);
    }

    /** Adds a task to run if the request turns out not to have run. */
    void onNotRun(Runnable task) {
        Runnable before = onNotRun;
        onNotRun = () -> {
            before.run();
            task.run();
        };
    }

    /** Sets the task to run when the request is answered, unless it has certainly not run. */
    void onRun(Runnable task) {
        onRun = task;
    }

    /** Sets the task to run if a leaf has run the request and answered. */
    void onSurvival(Runnable task) {
        onSurvival = task;
    }

    /** Sets the task to run if the connection of the last leaf call was lost and the request may have run. */
    void onDisconnected(Runnable task) {
        onDisconnected = task;
    }

    /** Refuses a request with the given Retry-After time. */
    void refuse(RefusalReason reason, Duration retryAfter) {
        refuse(reason, Optional.of(retryAfter));
    }

    @Override
    public void refuse(RefusalReason reason) {
        refuse(reason, Optional.empty());
    }

    private void refuse(RefusalReason reason, Optional<Duration> retryAfter) {
        metrics.recordRefusal(reason);
        if (reason.isNotRun()) {
            onNotRun.run();
        } else {
            onRun.run();
        }
        if (reason == RefusalReason.OUTCOME_UNKNOWN) {
            onDisconnected.run();
        }
        RefusalResponse response =
                switch (reason) {
                    case NO_LEAF ->
                        new RefusalResponse(UNAVAILABLE, RETRY_TABLE_CHANGE, "no leaf takes this request now");
                    case NO_LEAF_AT_HOME ->
                        new RefusalResponse(
                                UNAVAILABLE, RETRY_TABLE_CHANGE, "no leaf where this may be served takes it now");
                    case ALL_BUSY -> new RefusalResponse(UNAVAILABLE, RETRY_BUSY, "every leaf is full");
                    case HARMFUL ->
                        new RefusalResponse(
                                UNAVAILABLE,
                                RETRY_HARMFUL,
                                "not run: requests like this one ended the leafs that ran them; ask the operator");
                    case ON_TRIAL ->
                        new RefusalResponse(
                                UNAVAILABLE,
                                RETRY_ON_TRIAL,
                                "not run: leafs ended with requests like this one, and another one is being tried");
                    case UNKNOWN_KEY ->
                        new RefusalResponse(
                                UNAUTHORIZED, NO_RETRY, "a key of a team is needed; ask the operator for one");
                    case KEY_UNDECIDED ->
                        new RefusalResponse(
                                UNAVAILABLE,
                                RETRY_TABLE_CHANGE,
                                "not run: this host does not know the key and may not know the newest ones");
                    case OVER_LIMIT ->
                        new RefusalResponse(
                                TOO_MANY_REQUESTS, RETRY_BUSY, "the team has made as many requests as it may");
                    case NO_ROOM ->
                        new RefusalResponse(UNAVAILABLE, RETRY_BUSY, "not run: there is no room for it in time");
                    case EXPIRED ->
                        new RefusalResponse(UNAVAILABLE, RETRY_BUSY, "its time was up before it was looked at");
                    case TIME_UP ->
                        new RefusalResponse(GATEWAY_TIMEOUT, RETRY_BUSY, "no answer in time; it may have run");
                    case TOO_FEW_SHARDS, OUTCOME_UNKNOWN ->
                        new RefusalResponse(BAD_GATEWAY, RETRY_BUSY, "no whole answer came; it may have run");
                };
        refuse(
                response.status(),
                retryAfter.orElseGet(() -> RetryAfterJitter.spread(response.retryFrom(), random)),
                response.text());
    }

    /** Refuses a request because this host does not have its configuration yet. */
    void refuseNotReady() {
        refuse(
                UNAVAILABLE,
                RetryAfterJitter.spread(RETRY_NOT_READY, random),
                "this host does not know its configuration yet; come back soon");
    }

    /** Refuses a request because this host is stopping; the caller should use another host. */
    void refuseStopping() {
        onNotRun.run();
        refuse(
                UNAVAILABLE,
                RetryAfterJitter.spread(RETRY_STOPPING, random),
                "this host is stopping; another one takes the request");
    }

    private void refuse(int status, Duration retryAfter, String text) {
        FullHttpResponse response =
                HttpExchange.response(status, Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        if (!retryAfter.isZero()) {
            response.headers().set(names.retryAfterSeconds(), formatSeconds(retryAfter));
        }
        if (status == UNAUTHORIZED) {
            response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, CallerCheck.SCHEME);
        }
        metrics.recordAnswer(exchange.receivedNanos());
        exchange.respond(response);
    }

    private static String formatSeconds(Duration time) {
        return BigDecimal.valueOf(time.toMillis(), MILLIS_SCALE).toPlainString();
    }

    /**
     * The answer to a refused request.
     *
     * @param retryFrom the earliest time of a retry, to which jitter is added; zero if a retry is useless
     */
    private record RefusalResponse(int status, Duration retryFrom, String text) {}
}
