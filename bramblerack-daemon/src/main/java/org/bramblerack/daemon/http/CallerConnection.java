package org.bramblerack.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bramblerack.connection.FramingOverhead;
import org.jspecify.annotations.Nullable;

/**
 * Counts the requests in flight on one connection, and closes it after the last one while the server stops.
 *
 * <p>Invariants: once an answer has announced that the connection closes, no further request is passed on. Requests
 * that were read before are all answered, up to {@link #MAX_ANSWERS_WHILE_STOPPING}.
 *
 * <p>Placed between the HTTP codec and the handler of requests. Owned by the event loop of its channel;
 * {@link #isIdle}, {@link #closeIfIdle} and {@link #channel} may be called from any thread.
 */
public final class CallerConnection extends ChannelDuplexHandler {
    /** Bounds the stop if a caller sends requests faster than it reads answers. */
    private static final int MAX_ANSWERS_WHILE_STOPPING = 64;

    private static final int RETRY_AFTER_SECONDS = 1;

    private final CallerConnections connections;
    private final Channel channel;
    private final FramingOverhead overhead;
    private @Nullable ChannelHandlerContext context;
    private long lastUsedNanos;
    private int unanswered;
    private int answersWhileStopping;
    private boolean headIncomplete;
    private boolean receiving;
    private boolean closing;
    private boolean refused;
    private volatile long firstByteNanos;
    private volatile boolean awaitsAnswer;
    private volatile boolean awaitsRequest;

    CallerConnection(CallerConnections connections, Channel channel, FramingOverhead overhead) {
        this.connections = connections;
        this.channel = channel;
        this.overhead = overhead;
        this.lastUsedNanos = connections.nowNanos();
    }

    /** Returns the handler that precedes the HTTP codec. */
    ChannelInboundHandler byteMonitor() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                if (!receiving) {
                    headIncomplete = true;
                    receiving = true;
                    firstByteNanos = connections.nowNanos();
                }
                publish();
                int count = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
                overhead.addBytes(count);
                context.fireChannelRead(message);
                limitIncompleteRequest(count);
            }
        };
    }

    /** Refuses the request that is being read if it, or all such requests together, exceed a limit. */
    private void limitIncompleteRequest(int newBytes) {
        if (!receiving || closing || refused) {
            connections.memory().release(this);
        } else if (overhead.isExcessive()) {
            refuseIncomplete(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        } else {
            connections.memory().add(this, newBytes).ifPresent(CallerConnection::refuseForMemory);
        }
    }

    /** Refuses the request that is being read; at once if called on the event loop, before it reads anything else. */
    private void refuseForMemory() {
        if (!channel.eventLoop().inEventLoop()) {
            channel.eventLoop().execute(this::refuseForMemory);
        } else if (receiving && !refused) {
            refuseIncomplete(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /**
     * Refuses the request that is being read and closes the connection. If earlier requests are unanswered, the
     * connection closes without a refusal after their answers: a refusal now would be taken for one of these.
     */
    private void refuseIncomplete(HttpResponseStatus status) {
        if (earlierUnanswered() == 0) {
            close(status);
            return;
        }
        refused = true;
        channel.config().setAutoRead(false);
        if (context != null) {
            discardIncompleteRequest(context.pipeline());
        }
    }

    /** Returns the number of unanswered requests that were read whole. */
    private int earlierUnanswered() {
        return unanswered - (receiving && !headIncomplete ? 1 : 0);
    }

    /** Returns true if no request is in flight. */
    public boolean isIdle() {
        return !awaitsAnswer && (!awaitsRequest || connections.isGraceOver(firstByteNanos));
    }

    /** Returns true if an answer has not been passed to the socket yet. */
    boolean awaitsAnswer() {
        return awaitsAnswer;
    }

    /** Returns when the first byte of the last request was read. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    /** Returns true if part of the head of a request has been read. */
    boolean isHeadIncomplete() {
        return headIncomplete;
    }

    Channel channel() {
        return channel;
    }

    /** Closes the connection if no request is in flight and it has not been used for a while. */
    void closeIfIdle() {
        channel.eventLoop().execute(() -> {
            long unusedNanos = connections.nowNanos() - lastUsedNanos;
            boolean unused = unusedNanos >= CallerConnections.UNUSED_BEFORE_CLOSE.toNanos();
            if (isIdle() && (unused || connections.isEnding())) {
                close(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        });
    }

    /**
     * Closes the connection. A request that was read in part is refused first: its caller may have sent the rest, and
     * could not tell otherwise whether it has run.
     */
    private void close(HttpResponseStatus refusalStatus) {
        boolean incomplete = receiving && !closing;
        closing = true;
        if (incomplete && context != null) {
            FullHttpResponse refusal =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusalStatus, Unpooled.EMPTY_BUFFER);
            if (refusalStatus.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                refusal.headers().setInt(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
            }
            refusal.headers()
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, 0)
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(refusal);
            discardIncompleteRequest(context.pipeline());
        }
        channel.close();
    }

    /** Frees what was read of the request, since the connection may stay open for a while. */
    private void discardIncompleteRequest(ChannelPipeline pipeline) {
        if (pipeline.get(RequestAggregator.class) != null) {
            pipeline.remove(RequestAggregator.class);
        }
        connections.memory().release(this);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if ((closing || refused) && message instanceof HttpObject) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpRequest) {
            headIncomplete = false;
            unanswered++;
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            overhead.addBodyBytes(content.content().readableBytes());
        }
        if (message instanceof LastHttpContent) {
            receiving = false;
            overhead.reset();
        }
        publish();
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                context.write(message, promise);
                return;
            }
            announceCloseIfLast(response);
        }
        ChannelPromise writePromise = promise;
        if (message instanceof LastHttpContent) {
            writePromise = promise.unvoid();
            writePromise.addListener(written -> onAnswered(context));
        }
        context.write(message, writePromise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.onClosed(this);
        context.fireChannelInactive();
    }

    private void announceCloseIfLast(HttpResponse response) {
        if (!connections.isStopping()) {
            return;
        }
        answersWhileStopping++;
        if (unanswered <= 1 || answersWhileStopping >= MAX_ANSWERS_WHILE_STOPPING) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void onAnswered(ChannelHandlerContext context) {
        unanswered--;
        lastUsedNanos = connections.nowNanos();
        publish();
        if (closing || (refused && earlierUnanswered() == 0)) {
            context.close();
        }
    }

    private void publish() {
        // A request whose body is incomplete is unanswered, but has not begun to run.
        awaitsAnswer = earlierUnanswered() > 0;
        awaitsRequest = receiving;
    }
}
