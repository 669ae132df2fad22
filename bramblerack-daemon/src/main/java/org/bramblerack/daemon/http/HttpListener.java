package org.bramblerack.daemon.http;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bramblerack.daemon.lifecycle.BoundedStop;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.RequestLimits;
import org.jspecify.annotations.Nullable;

/**
 * Listens at one address and passes complete requests to a handler.
 *
 * <p>While stopping, it continues to accept and answer requests, but the answer to the last request that was read from
 * a connection closes it. Started once, stopped once. Safe for use by many threads.
 */
public final class HttpListener {
    private static final int BACKLOG = 1_024;
    private static final String AGGREGATOR = "aggregator";
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final long TIMEOUT_CHECK_PERIOD_MILLIS = 500;
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;

    private final HostAndPort address;
    private final EventLoopGroup group;
    private final HttpHandler handler;
    private final Supplier<RequestLimits> limits;
    private final MonotonicClock clock;
    private final CallerConnections callers;
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean refusing;
    private @Nullable Channel serverChannel;
    private @Nullable ScheduledFuture<?> timeoutCheck;

    /** Creates a listener that is not bound until {@link #start} is called. */
    public HttpListener(
            HostAndPort address,
            EventLoopGroup group,
            HttpHandler handler,
            Supplier<RequestLimits> limits,
            MonotonicClock clock) {
        this(address, group, handler, limits, clock, new CallerConnections(clock));
    }

    HttpListener(
            HostAndPort address,
            EventLoopGroup group,
            HttpHandler handler,
            Supplier<RequestLimits> limits,
            MonotonicClock clock,
            CallerConnections callers) {
        this.address = address;
        this.group = group;
        this.handler = handler;
        this.limits = limits;
        this.clock = clock;
        this.callers = callers;
    }

    /**
     * Binds the address and starts accepting connections.
     *
     * @throws InterruptedException if the thread is interrupted while binding the address
     */
    public synchronized void start() throws InterruptedException {
        serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                .childHandler(new PipelineInitializer())
                .bind(new InetSocketAddress(address.getHost(), address.getPort()))
                .sync()
                .channel();
        timeoutCheck = group.next()
                .scheduleWithFixedDelay(
                        this::closeTimedOut,
                        TIMEOUT_CHECK_PERIOD_MILLIS,
                        TIMEOUT_CHECK_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Begins to stop: from now on, the answer to the last request of a connection closes it. */
    public void beginStop() {
        callers.beginStop();
    }

    /** Refuses the requests that arrive from now on, without passing them to the handler. */
    public void refuseNew() {
        refusing = true;
    }

    /** Closes the connections on which no request is in flight and that have not been used for a while. */
    public void closeIdle() {
        callers.closeIdle();
    }

    /** Returns true if no request is in flight. */
    public boolean isIdle() {
        return callers.isIdle();
    }

    /** Returns the number of connections on which a request is in flight. */
    public int inFlight() {
        return callers.inFlight();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return callers.count();
    }

    /** Stops listening. Open connections remain open. */
    public synchronized void stopListening() {
        if (serverChannel != null) {
            BoundedStop.await(serverChannel.close(), "the listener at " + address);
            serverChannel = null;
        }
        if (timeoutCheck != null) {
            timeoutCheck.cancel(false);
            timeoutCheck = null;
        }
    }

    /**
     * Stops gracefully: answers the requests in flight and those that still arrive, closes idle connections, stops
     * listening, and answers the requests on the connections that were accepted last.
     *
     * @param limit the maximum time that this takes, after which requests may be unanswered
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void drain(Duration limit) throws InterruptedException {
        long deadlineNanos = clock.nowNanos() + limit.toNanos();
        beginStop();
        drainUntil(this::isIdle, deadlineNanos);
        stopListening();
        drainUntil(() -> connectionCount() == 0, deadlineNanos);
    }

    /**
     * Ends the requests in flight, because this process is about to end: those that are being handled are answered by
     * their {@link HttpExchange#onStopLimit} tasks, and those that were read in part are refused.
     */
    public void endRequests() {
        connections.forEach(HttpConnection::endRequest);
        callers.endWaiting();
    }

    private void drainUntil(BooleanSupplier done, long deadlineNanos) throws InterruptedException {
        closeIdle();
        while (!done.getAsBoolean() && clock.nowNanos() - deadlineNanos < 0) {
            Thread.sleep(DRAIN_POLL_INTERVAL_MILLIS);
            closeIdle();
        }
    }

    /** Stops listening and closes all connections, including those with unanswered requests. */
    public void stopNow() {
        stopListening();
        callers.closeNow();
    }

    /** Passes a request to the handler, or refuses it. */
    void handle(HttpExchange exchange) {
        if (refusing) {
            exchange.end();
        } else {
            handler.handle(exchange);
        }
    }

    void onOpened(HttpConnection connection) {
        connections.add(connection);
    }

    void onClosed(HttpConnection connection) {
        connections.remove(connection);
    }

    private void closeTimedOut() {
        RequestLimits current = limits.get();
        long nowNanos = clock.nowNanos();
        ImmutableList.copyOf(connections)
                .forEach(connection -> connection.closeIfTimedOut(
                        nowNanos,
                        current.headerTimeout().toNanos(),
                        current.idleTimeout().toNanos()));
    }

    /** Sets up the pipeline of a new connection with the current limits. */
    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            RequestLimits current = limits.get();
            channel.pipeline()
                    .addLast(new HttpServerCodec(current.maxHeaderBytes(), current.maxHeaderBytes(), MAX_CHUNK_BYTES))
                    .addLast(AGGREGATOR, new RequestAggregator(current.maxBodyBytes()));
            CallerConnection tracked = callers.track(channel.pipeline(), AGGREGATOR, current.maxHeaderBytes());
            channel.pipeline().addLast(new HttpConnection(HttpListener.this, tracked, clock));
        }
    }
}
