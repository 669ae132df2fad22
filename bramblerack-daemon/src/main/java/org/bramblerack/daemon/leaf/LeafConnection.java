package org.bramblerack.daemon.leaf;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a leaf, which carries one request at a time.
 *
 * <p>Invariants: bytes that do not belong to the answer of the current request are discarded and close the connection,
 * whether or not they form a message, and a request is never sent on a connection on which such bytes have arrived. An
 * answer to another request is skipped, and the connection is not reused. An answer without a length is complete only
 * if the connection was closed cleanly. Owned by its event loop.
 */
final class LeafConnection extends ChannelInboundHandlerAdapter {
    /** The maximum number of answers to earlier requests that are skipped before the expected one. */
    private static final int MAX_STALE_ANSWERS = 2;

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MIN_FINAL_STATUS = 200;

    private final LeafConnections owner;
    private final CallHeaders headerNames;
    private final MonotonicClock clock;
    private final LeafResponseDecoder decoder = new LeafResponseDecoder(this::onStrayBytes);
    private @Nullable LeafChannel channel;
    private @Nullable LeafCallback callback;
    private String requestId = "";
    private AnswerKind answerKind = AnswerKind.WHOLE;
    private @Nullable HttpResponse response;
    private @Nullable CompositeByteBuf body;
    private int staleAnswers;
    private boolean reusable = true;
    private @Nullable ConnectionEvent endReason;
    private boolean connectionFailed;
    private long idleSinceNanos;
    private long maxIdleNanos = Long.MAX_VALUE;

    LeafConnection(LeafConnections owner, CallHeaders headerNames, MonotonicClock clock) {
        this.owner = owner;
        this.headerNames = headerNames;
        this.clock = clock;
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

    private void onStrayBytes() {
        close(ConnectionEvent.ENDED_GARBLED);
    }

    private ConnectionEvent remoteCloseReason() {
        return callback == null ? ConnectionEvent.ENDED_WHILE_IDLE : ConnectionEvent.ENDED_WHILE_CALLED;
    }

    private void onHead(HttpResponse head) {
        if (head.decoderResult().isFailure() || SplicedHead.isSpliced(head)) {
            failMalformed();
            return;
        }
        response = head;
        body = null;
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
            CompositeByteBuf accumulated = body == null ? Unpooled.compositeBuffer(64) : body;
            body = accumulated;
            accumulated.addComponent(true, content.content().retain());
            if (accumulated.readableBytes() > MAX_BODY_BYTES) {
                failMalformed();
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            onComplete(head);
        }
    }

    private void onComplete(HttpResponse head) {
        ByteString completeBody = takeBody();
        response = null;
        if (head.status().code() < MIN_FINAL_STATUS) {
            return;
        }
        boolean hasFraming = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (!hasFraming && connectionFailed) {
            fail(LeafOutcome.BROKEN);
            return;
        }
        reusable &= hasFraming && HttpUtil.isKeepAlive(head);
        String echoedRequestId = head.headers().get(headerNames.requestId());
        if (echoedRequestId != null && !requestId.isEmpty() && !echoedRequestId.equals(requestId)) {
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
        ByteString copy = UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(accumulated));
        releaseBody();
        return copy;
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
