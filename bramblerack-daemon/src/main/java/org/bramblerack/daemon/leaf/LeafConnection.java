package org.bramblerack.daemon.leaf;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bramblerack.connection.FramingOverhead;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a leaf, which carries one request at a time.
 *
 * <p>Invariants: bytes that do not belong to the answer of the current request are discarded and close the connection,
 * whether or not they form a message, and a request is never sent on a connection on which such bytes have arrived. An
 * answer to another request is skipped, and the connection is not reused. An answer without a length is complete only
 * if the leaf closed the connection cleanly. {@link AnswerLimits} bound what is read and kept. Owned by its event loop.
 */
final class LeafConnection extends ChannelInboundHandlerAdapter implements LeafResponseDecoder.Listener {
    /** The maximum number of answers to earlier requests that are skipped before the expected one. */
    private static final int MAX_STALE_ANSWERS = 2;

    private static final int MAX_INTERIM_ANSWERS = 16;
    private static final int MAX_INITIAL_BODY_BYTES = 64 * 1024;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL_STATUS = 200;

    private final LeafConnections owner;
    private final CallHeaders headerNames;
    private final MonotonicClock clock;
    private final AnswerLimits limits;
    private final FramingOverhead overhead = AnswerLimits.overhead();
    private final LeafResponseDecoder decoder = new LeafResponseDecoder(this);
    private @Nullable LeafChannel channel;
    private @Nullable LeafCallback callback;
    private String requestId = "";
    private AnswerKind answerKind = AnswerKind.WHOLE;
    private @Nullable HttpResponse response;
    private @Nullable ByteBuf body;
    private int interimAnswers;
    private int staleAnswers;
    private boolean reusable = true;
    private @Nullable ConnectionEvent endReason;
    private boolean connectionFailed;
    private long idleSinceNanos;
    private long maxIdleNanos = Long.MAX_VALUE;

    LeafConnection(LeafConnections owner, CallHeaders headerNames, MonotonicClock clock, AnswerLimits limits) {
        this.owner = owner;
        this.headerNames = headerNames;
        this.clock = clock;
        this.limits = limits;
    }

    /** Returns the handler that precedes this one. */
    LeafResponseDecoder decoder() {
        return decoder;
    }

    void onOpened(LeafChannel openChannel) {
        channel = openChannel;
        idleSinceNanos = clock.nowNanos();
    }

    /** Sends a request. The connection must be idle. */
    void send(LeafRequest request, String leafId, long remainingMillis, LeafCallback newCallback) {
        LeafChannel open = channel;
        if (open == null || !open.isActive()) {
            newCallback.onFailure(LeafOutcome.UNREACHABLE);
            return;
        }
        callback = newCallback;
        requestId = request.requestId();
        answerKind = request.answerKind();
        staleAnswers = 0;
        interimAnswers = 0;
        overhead.reset();
        decoder.expectAnswer(request.isHeadRequest());
        open.writeAndFlush(request.encode(open.alloc(), leafId, remainingMillis), open.voidPromise());
    }

    /**
     * Closes the connection, which makes the leaf cancel the current request.
     *
     * @param reason the reported reason, unless the connection is being closed for another one already
     */
    void close(ConnectionEvent reason) {
        reusable = false;
        endReason = endReason == null ? reason : endReason;
        LeafChannel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Returns why the connection cannot carry a request now and has to be closed; empty if it can. */
    Optional<ConnectionEvent> unusableReason(long nowNanos) {
        LeafChannel open = channel;
        boolean isIdle = reusable && callback == null && open != null && open.isActive();
        if (open == null || !isIdle || nowNanos - idleSinceNanos >= maxIdleNanos) {
            return Optional.of(ConnectionEvent.ENDED_RESTED);
        }
        return switch (open.unreadInput()) {
            case NOTHING -> Optional.empty();
            case BYTES -> Optional.of(ConnectionEvent.ENDED_GARBLED);
            case END -> Optional.of(ConnectionEvent.ENDED_WHILE_IDLE);
        };
    }

    /** Returns true if the last request on this connection had the given identifier. */
    boolean lastCarriedRequest(String id) {
        return !id.isEmpty() && requestId.equals(id);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (callback == null) {
                // No request is in flight: the rest of a message after the answer.
                onStrayBytes();
                return;
            }
            if (message instanceof HttpResponse head) {
                onHead(head);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connectionFailed = true;
        close(remoteCloseReason());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        reusable = false;
        ConnectionEvent reason = endReason == null ? remoteCloseReason() : endReason;
        releaseBody();
        fail(LeafOutcome.BROKEN);
        owner.onClosed(this, reason);
    }

    @Override
    public void onStrayBytes() {
        close(ConnectionEvent.ENDED_GARBLED);
    }

    @Override
    public void onBytes(int count) {
        overhead.addBytes(count);
    }

    @Override
    public void onBytesDecoded(int count) {
        if (callback == null) {
            return;
        }
        if (overhead.isExcessive()) {
            failMalformed();
            return;
        }
        long pauseNanos = limits.pauseNanos(count, overhead.messageBytes());
        if (pauseNanos > 0) {
            pauseReading(pauseNanos);
        }
    }

    private void pauseReading(long pauseNanos) {
        LeafChannel open = channel;
        if (open != null) {
            open.config().setAutoRead(false);
            open.eventLoop().schedule(() -> open.config().setAutoRead(true), pauseNanos, TimeUnit.NANOSECONDS);
        }
    }

    private ConnectionEvent remoteCloseReason() {
        return callback == null ? ConnectionEvent.ENDED_WHILE_IDLE : ConnectionEvent.ENDED_WHILE_CALLED;
    }

    private void onHead(HttpResponse head) {
        if (head.decoderResult().isFailure() || !isValid(head) || SplicedHead.isSpliced(head)) {
            failMalformed();
            return;
        }
        response = head;
    }

    private void onContent(HttpContent content) {
        HttpResponse head = response;
        if (content.decoderResult().isFailure()) {
            failMalformed();
            return;
        }
        if (head == null) {
            return;
        }
        if (content.content().isReadable()) {
            appendToBody(head, content.content());
        }
        if (content instanceof LastHttpContent && response != null) {
            onComplete(head);
        }
    }

    /** Returns false for heads after which no answer of a leaf can follow. */
    private static boolean isValid(HttpResponse head) {
        List<String> encodings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plain = encodings.isEmpty()
                || (encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                encodings.get(0).trim()));
        return plain && head.status().code() != SWITCHING_PROTOCOLS;
    }

    /** Appends to the body, unless that exceeds a limit. */
    private void appendToBody(HttpResponse head, ByteBuf bytes) {
        int count = bytes.readableBytes();
        if (HttpUtil.isTransferEncodingChunked(head)) {
            overhead.addBodyPiece(count);
        } else {
            overhead.addBodyBytes(count);
        }
        if (overhead.bodyBytes() > AnswerLimits.maxBodyBytes(answerKind)) {
            failMalformed();
            return;
        }
        ByteBuf accumulated = body;
        if (accumulated == null) {
            int expected = HttpUtil.getContentLength(head, count);
            accumulated = Unpooled.buffer(Math.max(count, Math.min(expected, MAX_INITIAL_BODY_BYTES)));
            body = accumulated;
        }
        accumulated.writeBytes(bytes);
        limits.memory().add(this, count).ifPresent(LeafConnection::failMalformed);
    }

    private void onComplete(HttpResponse head) {
        ByteString completeBody = takeBody();
        response = null;
        if (head.status().code() < MIN_FINAL_STATUS) {
            interimAnswers++;
            if (interimAnswers > MAX_INTERIM_ANSWERS) {
                failMalformed();
            }
            return;
        }
        boolean hasFraming = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        boolean closedCleanly = !connectionFailed && endReason == null;
        if (!hasFraming && !closedCleanly) {
            fail(LeafOutcome.BROKEN);
            return;
        }
        reusable &= hasFraming && HttpUtil.isKeepAlive(head);
        List<String> echoedRequestIds = head.headers().getAll(headerNames.requestId());
        if (echoedRequestIds.size() > 1) {
            failMalformed();
            return;
        }
        if (echoedRequestIds.size() == 1
                && !requestId.isEmpty()
                && !echoedRequestIds.get(0).equals(requestId)) {
            skipStaleAnswer();
            return;
        }
        updateIdleLimit(head.headers());
        complete(LeafAnswer.of(head.status().code(), head.headers(), completeBody, answerKind, headerNames));
    }

    /** Skips an answer to another request; the expected answer may still follow. */
    private void skipStaleAnswer() {
        reusable = false;
        staleAnswers++;
        if (staleAnswers > MAX_STALE_ANSWERS) {
            failMalformed();
        }
    }

    private void updateIdleLimit(HttpHeaders headers) {
        Optional<Long> seconds = KeepAlive.timeoutSeconds(headers.get(KeepAlive.FIELD));
        seconds.ifPresent(value -> maxIdleNanos = KeepAlive.safeIdleNanos(value));
    }

    private void complete(LeafAnswer answer) {
        LeafCallback completed = callback;
        callback = null;
        idleSinceNanos = clock.nowNanos();
        boolean bytesLeft = decoder.endAnswer();
        if (bytesLeft) {
            onStrayBytes();
        } else if (reusable) {
            owner.onIdle(this);
        } else {
            close(ConnectionEvent.ENDED_BY_ANSWER);
        }
        if (completed != null) {
            completed.onAnswer(answer);
        }
    }

    private void failMalformed() {
        releaseBody();
        response = null;
        fail(LeafOutcome.GARBLED);
        close(ConnectionEvent.ENDED_GARBLED);
    }

    private void fail(LeafOutcome outcome) {
        LeafCallback failed = callback;
        callback = null;
        if (failed != null) {
            failed.onFailure(outcome);
        }
    }

    private ByteString takeBody() {
        ByteBuf accumulated = body;
        if (accumulated == null) {
            return ByteString.EMPTY;
        }
        int length = accumulated.readableBytes();
        boolean exact = accumulated.capacity() == length;
        byte[] bytes = exact ? accumulated.array() : ByteBufUtil.getBytes(accumulated);
        releaseBody();
        return UnsafeByteOperations.unsafeWrap(bytes);
    }

    private void releaseBody() {
        if (body != null) {
            limits.memory().release(this);
            body = null;
        }
    }
}
