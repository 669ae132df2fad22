package org.bramblerack.daemon.http;

import io.netty.channel.ChannelPipeline;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.bramblerack.connection.FramingOverhead;
import org.bramblerack.process.BufferLimit;
import org.bramblerack.process.MonotonicClock;

/**
 * The open connections of an HTTP server, which it closes only when nothing on them is left to answer.
 *
 * <p>A request counts from the first byte that is read of it until the last byte of its answer has been passed to the
 * socket, whatever the handlers of the server consider finished. Safe for use by many threads.
 */
public final class CallerConnections {
    /** How long a stopping server waits for the rest of requests that it has read in part. */
    static final Duration INCOMPLETE_REQUEST_GRACE = Duration.ofSeconds(2);

    /**
     * How long a connection must have been unused before a stopping server closes it. A caller that reuses a connection
     * sends its next request soon after an answer, and the request would otherwise cross the close.
     */
    static final Duration UNUSED_BEFORE_CLOSE = Duration.ofMillis(250);

    /** How long a caller may take to read the end of its last answer and to close its side. */
    private static final Duration MAX_LINGER = Duration.ofSeconds(1);

    /** The size of the heads and chunk lines of a request, as a multiple of the limit of its head. */
    private static final int MAX_FRAMING_IN_HEADS = 4;

    private final MonotonicClock clock;
    private final BufferLimit<CallerConnection> memory;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean stopping;
    private volatile boolean ending;

    /** Creates an empty set of connections. */
    public CallerConnections(MonotonicClock clock) {
        this(clock, BufferLimit.ofHeap());
    }

    /**
     * Creates an empty set of connections.
     *
     * @param memory limits what incomplete requests occupy together
     */
    CallerConnections(MonotonicClock clock, BufferLimit<CallerConnection> memory) {
        this.clock = clock;
        this.memory = memory;
    }

    /**
     * Starts to track a new connection. Called on its event loop, before it has read anything.
     *
     * @param next the name of the handler that follows the HTTP codec
     * @param maxHeadBytes the maximum size of the head of a request
     */
    public CallerConnection track(ChannelPipeline pipeline, String next, int maxHeadBytes) {
        FramingOverhead overhead = new FramingOverhead((long) MAX_FRAMING_IN_HEADS * maxHeadBytes);
        CallerConnection connection = new CallerConnection(this, pipeline.channel(), overhead);
        pipeline.addFirst(connection.byteMonitor());
        pipeline.addFirst(new LingeringClose(MAX_LINGER));
        pipeline.addBefore(next, null, connection);
        connections.add(connection);
        return connection;
    }

    /**
     * Begins to stop: from now on, the answer to the last request that was read from a connection announces that the
     * connection closes, and closes it.
     */
    public void beginStop() {
        stopping = true;
    }

    /** Closes the connections on which no request is in flight and that have not been used for a while. */
    public void closeIdle() {
        connections.forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Stops waiting for the rest of requests that were read in part, and closes connections as soon as they are idle.
     */
    public void endWaiting() {
        ending = true;
        closeIdle();
    }

    /** Closes all connections at once, including those on which requests are in flight. */
    public void closeNow() {
        connections.forEach(connection -> LingeringClose.closeNow(connection.channel()));
    }

    /** Returns true if no request is in flight on any connection. */
    public boolean isIdle() {
        return inFlight() == 0;
    }

    /** Returns the number of connections on which a request is in flight. */
    public int inFlight() {
        return (int)
                connections.stream().filter(connection -> !connection.isIdle()).count();
    }

    /** Returns the number of connections, including those that are being closed. */
    public int count() {
        return connections.size();
    }

    boolean isStopping() {
        return stopping;
    }

    boolean isEnding() {
        return ending;
    }

    /** Returns true if the rest of a request is no longer waited for. */
    boolean isGraceOver(long firstByteNanos) {
        return ending || (stopping && clock.nowNanos() - firstByteNanos > INCOMPLETE_REQUEST_GRACE.toNanos());
    }

    long nowNanos() {
        return clock.nowNanos();
    }

    BufferLimit<CallerConnection> memory() {
        return memory;
    }

    void onClosed(CallerConnection connection) {
        memory.release(connection);
        connections.remove(connection);
    }
}
