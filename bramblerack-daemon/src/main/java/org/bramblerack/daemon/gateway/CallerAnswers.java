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
    /** How many digits of a second tell milliseconds. */
    private static final int MILLIS_SCALE = 3;
    /** No use in coming back: the answer will be the same. */
    private static final Duration NO_RETRY = Duration.ZERO;
    /** When to come back if no leaf takes work, or keys are not known: a change takes about 0.3 s to be known. */
    private static final Duration RETRY_NO_LEAF = Duration.ofMillis(200);
    /**
     * When to come back to a fleet whose hosts have just started: a host knows its tables about a second after its
     * start, and a caller that comes back much sooner is only refused again.
     */
    private static final Duration RETRY_NOT_READY = Duration.ofMillis(700);
    /** When to try another host: at once, since every answer of this one ends its connection. */
    private static final Duration RETRY_STOPPING = Duration.ofMillis(40);
    /** When to come back after leafs were full or late: a few times the work of one request. */
    private static final Duration RETRY_BUSY = Duration.ofMillis(70);

    /**
     * When to come back with a request of which another is being tried: a third of the time for which nobody else may
     * be tried, since an answer to that one lets others through at once.
     */
    private static final Duration RETRY_ON_TRIAL = Duration.ofMillis(350);
    /**
     * When to come back with a request that is sent to no leaf: it stays so for an hour, unless it was taken for
     * another, which shows within seconds.
     */
    private static final Duration RETRY_HARMFUL = Duration.ofSeconds(60);

    private final HttpExchange exchange;
    private final CallHeaders names;
    private final GatewayMetrics metrics;
    private final RandomGenerator random;
    private Runnable onNotRun = () -> {};
    private Runnable onDisconnected = () -> {};
    private Runnable onSurvival = () -> {};

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
        metrics.recordMergedAnswer(answer.missing());
        metrics.recordAnswer(exchange.receivedNanos());
        exchange.respond(response);
    }

    /** Passes on what a leaf answered. */
    void forward(LeafAnswer answer) {
        FullHttpResponse response = HttpExchange.response(
                answer.status(), Unpooled.wrappedBuffer(answer.body().asReadOnlyByteBuffer()));
        LeafRequest.copyEndToEnd(answer.headers(), response.headers());
        metrics.recordForwardedAnswer(answer.status());
        if (answer.showsSurvival()) {
            onSurvival.run();
        }
        metrics.recordAnswer(exchange.receivedNanos());
        exchange.respond(response);
    }

    /** Adds what to do if the request turns out not to have run. */
    void onNotRun(Runnable task) {
        Runnable before = onNotRun;
        onNotRun = () -> {
            before.run();
            task.run();
        };
    }

    /** Sets what to do if a leaf has run the request and answered. */
    void onSurvival(Runnable task) {
        onSurvival = task;
    }

    /** Sets what to do if the last call to a leaf broke and the request may have run. */
    void onDisconnected(Runnable task) {
        onDisconnected = task;
    }

    /** Refuses a request and says when to come back. */
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
        } else if (reason == RefusalReason.OUTCOME_UNKNOWN) {
            onDisconnected.run();
        }
        RefusalResponse response =
                switch (reason) {
                    case NO_LEAF -> new RefusalResponse(UNAVAILABLE, RETRY_NO_LEAF, "no leaf takes this request now");
                    case NO_LEAF_AT_HOME ->
                        new RefusalResponse(
                                UNAVAILABLE, RETRY_NO_LEAF, "no leaf where this may be served takes it now");
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
                                RETRY_NO_LEAF,
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

    /** Tells the caller that the request was not looked at and when to come back. */
    void refuseNotReady() {
        refuse(
                UNAVAILABLE,
                RetryAfterJitter.spread(RETRY_NOT_READY, random),
                "this host does not know its configuration yet; come back soon");
    }

    /** Tells the caller that the request was not looked at, and to try another host. */
    void refuseStopping() {
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
     * What a caller is told of a refusal.
     *
     * @param retryFrom when it may come back at the earliest; callers are spread from there
     */
    private record RefusalResponse(int status, Duration retryFrom, String text) {}
}
