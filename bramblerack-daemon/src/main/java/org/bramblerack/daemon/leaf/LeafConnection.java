package org.bramblerack.daemon.leaf;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * One connection to a leaf. It carries one request at a time.
 *
 * <p>Invariants: bytes that do not belong to the answer of the present request end the connection and reach nobody. An
 * answer to another request is skipped, and the connection is not used again. An answer without a length is whole only
 * if its connection ended in order. Owned by its event loop.
 */
final class LeafConnection extends ChannelInboundHandlerAdapter {
    /** How many answers to earlier requests may come before the one that is due. */
    private static final int MAX_FOREIGN_ANSWERS = 2;

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int INFORMATIONAL = 200;

    private final LeafConnections owner;
    private final CallHeaders names;
    private final MonotonicClock clock;
    private @Nullable Channel channel;
    private @Nullable LeafCallback exchange;
    private String requestId = "";
    private @Nullable HttpResponse response;
    private @Nullable CompositeByteBuf body;
    private int foreignAnswers;
    private boolean keepsOpen = true;
    private @Nullable ConnectionEvent end;
    private boolean reset;
    private long idleSinceNanos;
    private long idleLimitNanos = Long.MAX_VALUE;

    LeafConnection(LeafConnections owner, CallHeaders names, MonotonicClock clock) {
        this.owner = owner;
        this.names = names;
        this.clock = clock;
    }

    void opened(Channel opened) {
        channel = opened;
        idleSinceNanos = clock.nowNanos();
    }

    /** Sends a request; the connection must be idle. */
    void send(LeafRequest request, String leafId, long remainingMillis, LeafCallback taker) {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            taker.onFailure(LeafOutcome.UNREACHABLE);
            return;
        }
        exchange = taker;
        requestId = request.requestId();
        foreignAnswers = 0;
        open.pipeline().get(LeafResponseDecoder.class).setBodiless(request.isHead());
        open.writeAndFlush(request.encode(open.alloc(), leafId, remainingMillis), open.voidPromise());
    }

    /**
     * Ends the connection, as to make the leaf drop the present request.
     *
     * @param reason why, unless it is closed already
     */
    void close(ConnectionEvent reason) {
        keepsOpen = false;
        end = end == null ? reason : end;
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Returns true if it may carry a request now. */
    boolean isUsable(long nowNanos) {
        Channel open = channel;
        return keepsOpen
                && exchange == null
                && open != null
                && open.isActive()
                && nowNanos - idleSinceNanos < idleLimitNanos;
    }

    /** Returns true if a request with the identifier was the last that it carried. */
    boolean lastCarried(String id) {
        return !id.isEmpty() && requestId.equals(id);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (exchange == null) {
                // Nothing is due: an answer too many, or bytes that belong to no request.
                close(ConnectionEvent.ENDED_GARBLED);
                return;
            }
            if (message instanceof HttpResponse head) {
                begin(head);
            }
            if (message instanceof HttpContent content) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        close(endedByLeaf());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        keepsOpen = false;
        ConnectionEvent reason = end == null ? endedByLeaf() : end;
        dropBody();
        fail(LeafOutcome.BROKEN);
        owner.closed(this, reason);
    }

    private ConnectionEvent endedByLeaf() {
        return exchange == null ? ConnectionEvent.ENDED_WHILE_IDLE : ConnectionEvent.ENDED_WHILE_CALLED;
    }

    private void begin(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            garbled();
            return;
        }
        response = head;
        body = null;
    }

    private void append(HttpContent content) {
        HttpResponse head = response;
        if (content.decoderResult().isFailure()) {
            garbled();
            return;
        }
        if (head == null) {
            return;
        }
        if (content.content().isReadable()) {
            CompositeByteBuf gathered = body == null ? Unpooled.compositeBuffer(64) : body;
            body = gathered;
            gathered.addComponent(true, content.content().retain());
            if (gathered.readableBytes() > MAX_BODY_BYTES) {
                garbled();
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            finish(head);
        }
    }

    private void finish(HttpResponse head) {
        ByteString whole = takeBody();
        response = null;
        if (head.status().code() < INFORMATIONAL) {
            return;
        }
        boolean framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (!framed && reset) {
            fail(LeafOutcome.BROKEN);
            return;
        }
        keepsOpen &= framed && HttpUtil.isKeepAlive(head);
        String echoed = head.headers().get(names.requestId());
        if (echoed != null && !requestId.isEmpty() && !echoed.equals(requestId)) {
            skipForeign();
            return;
        }
        noteIdleLimit(head.headers());
        complete(LeafAnswer.of(head.status().code(), head.headers(), whole, names));
    }

    /** An answer to another request came where ours is due: ours may still follow it. */
    private void skipForeign() {
        keepsOpen = false;
        foreignAnswers++;
        if (foreignAnswers > MAX_FOREIGN_ANSWERS) {
            garbled();
        }
    }

    private void noteIdleLimit(HttpHeaders headers) {
        Optional<Long> seconds = KeepAlive.seconds(headers.get(KeepAlive.FIELD));
        seconds.ifPresent(value -> idleLimitNanos = KeepAlive.safeIdleNanos(value));
    }

    private void complete(LeafAnswer answer) {
        LeafCallback taker = exchange;
        exchange = null;
        idleSinceNanos = clock.nowNanos();
        if (keepsOpen) {
            owner.idle(this);
        } else {
            close(ConnectionEvent.ENDED_BY_ANSWER);
        }
        if (taker != null) {
            taker.onAnswer(answer);
        }
    }

    private void garbled() {
        dropBody();
        response = null;
        fail(LeafOutcome.GARBLED);
        close(ConnectionEvent.ENDED_GARBLED);
    }

    private void fail(LeafOutcome outcome) {
        LeafCallback taker = exchange;
        exchange = null;
        if (taker != null) {
            taker.onFailure(outcome);
        }
    }

    private ByteString takeBody() {
        ByteBuf gathered = body;
        if (gathered == null) {
            return ByteString.EMPTY;
        }
        ByteString whole = UnsafeByteOperations.unsafeWrap(ByteBufUtil.getBytes(gathered));
        dropBody();
        return whole;
    }

    private void dropBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }
}
