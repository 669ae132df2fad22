package org.bramblerack.daemon.leaf;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.bramblerack.daemon.http.ReadSizes;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.LeafEndDetector;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The connections of this host to one leaf.
 *
 * <p>Invariant: the open and connecting connections never exceed this host's share of the leaf's connection limit.
 * Further requests wait in FIFO order. Owned by the event loop.
 */
public final class LeafConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_WAITING = 64;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Leaf leaf;
    private final EventLoopGroup group;
    private final CallHeaders headerNames;
    private final MonotonicClock clock;
    private final AnswerLimits limits;
    private final IntSupplier share;
    private final Consumer<ConnectionEvent> observer;
    private final CallMonitor monitor;
    private final LeafEndDetector<LeafRequest> endDetector = new LeafEndDetector<>();
    private final Deque<LeafConnection> idle = new ArrayDeque<>();
    private final List<LeafConnection> open = new ArrayList<>(4);
    private final Deque<PendingRequest> waiting = new ArrayDeque<>();
    private final EventExecutor loop;
    private int connecting;
    private boolean waitingScheduled;

    /**
     * Creates a set without connections.
     *
     * @param limits limits the bytes of answers, over the connections to all leaves
     * @param share the maximum number of connections of this host to the leaf, at least 1
     * @param observer receives an event for each connection that is opened or closed
     * @param monitor permits calls and receives their outcomes
     */
    public LeafConnections(
            Leaf leaf,
            EventLoopGroup group,
            CallHeaders headerNames,
            MonotonicClock clock,
            AnswerLimits limits,
            IntSupplier share,
            Consumer<ConnectionEvent> observer,
            CallMonitor monitor) {
        this.leaf = leaf;
        this.group = group;
        this.loop = group.next();
        this.headerNames = headerNames;
        this.clock = clock;
        this.limits = limits;
        this.share = share;
        this.observer = observer;
        this.monitor = monitor;
    }

    /**
     * Sends a request on an idle connection, or on a new one if the share allows it.
     *
     * <p>All requests to the leaf pass through here, so this is the final check that the leaf may receive them.
     *
     * @param deadlineNanos when the sender stops waiting
     * @return a handle to abandon the request
     */
    public CallHandle send(LeafRequest request, long deadlineNanos, LeafCallback callback) {
        PendingRequest pending = new PendingRequest(request, deadlineNanos, callback);
        if (!monitor.maySend(request)) {
            callback.onFailure(LeafOutcome.BARRED);
            return pending;
        }
        if (!leaf.acceptsWork() || !request.mayBeSentTo(leaf)) {
            callback.onFailure(LeafOutcome.NO_CONNECTION);
            return pending;
        }
        LeafConnection idleConnection = waiting.isEmpty() ? takeIdle(request.requestId()) : null;
        if (idleConnection != null) {
            pending.sendOn(idleConnection);
        } else if (waiting.size() >= MAX_WAITING) {
            callback.onFailure(LeafOutcome.NO_CONNECTION);
        } else {
            waiting.addLast(pending);
            connectIfAllowed();
        }
        return pending;
    }

    /** Opens a connection in advance, if there is none. */
    public void warm() {
        if (open.isEmpty() && connecting == 0 && waiting.isEmpty()) {
            connect(ConnectionEvent.MADE_AHEAD);
        }
    }

    /** Fails waiting requests and closes idle connections; requests in flight are completed. */
    public void retire() {
        failWaiting(LeafOutcome.NO_CONNECTION);
        closeIdle();
    }

    /** Closes idle connections; new ones are opened on demand. */
    public void closeIdle() {
        for (LeafConnection connection : List.copyOf(idle)) {
            connection.close(ConnectionEvent.ENDED_NOT_NEEDED);
        }
    }

    /** Returns the number of connections that are open or connecting. */
    public int count() {
        return open.size() + connecting;
    }

    void onIdle(LeafConnection connection) {
        if (!leaf.acceptsWork()) {
            connection.close(ConnectionEvent.ENDED_NOT_NEEDED);
            failWaiting(LeafOutcome.NO_CONNECTION);
            return;
        }
        idle.addFirst(connection);
        if (!waiting.isEmpty()) {
            scheduleWaiting();
        }
    }

    /**
     * Sends waiting requests after everything that can be read now was read. On a lagging host, that may include the
     * end of a caller's connection, which another task handles.
     */
    private void scheduleWaiting() {
        if (!waitingScheduled) {
            waitingScheduled = true;
            loop.execute(() -> loop.execute(this::sendWaiting));
        }
    }

    private void sendWaiting() {
        waitingScheduled = false;
        if (!leaf.acceptsWork()) {
            failWaiting(LeafOutcome.NO_CONNECTION);
        }
        while (!waiting.isEmpty()) {
            LeafConnection connection = takeIdle(waiting.getFirst().request.requestId());
            if (connection == null) {
                connectIfAllowed();
                return;
            }
            waiting.removeFirst().sendOn(connection);
        }
    }

    void onClosed(LeafConnection connection, ConnectionEvent reason) {
        observer.accept(reason);
        idle.remove(connection);
        open.remove(connection);
        if (reason == ConnectionEvent.ENDED_WHILE_IDLE) {
            endDetector.onIdleConnectionClosed(clock.nowNanos());
        }
        probeIfEndSuspected();
        if (!waiting.isEmpty()) {
            connectIfAllowed();
        }
    }

    /** Opens a connection to check whether the leaf has ended, if that is suspected and none is connecting already. */
    private void probeIfEndSuspected() {
        if (endDetector.isEndSuspected() && connecting == 0 && leaf.acceptsWork()) {
            connect(ConnectionEvent.MADE_TO_CONFIRM);
        }
    }

    private @Nullable LeafConnection takeIdle(String requestId) {
        long nowNanos = clock.nowNanos();
        while (!idle.isEmpty()) {
            LeafConnection candidate = idle.pollFirst();
            Optional<ConnectionEvent> unusable = candidate.unusableReason(nowNanos);
            if (unusable.isEmpty() && !candidate.lastCarriedRequest(requestId)) {
                return candidate;
            }
            candidate.close(unusable.orElse(ConnectionEvent.ENDED_SAME_REQUEST));
        }
        return null;
    }

    private void connectIfAllowed() {
        boolean needed = connecting + idle.size() < waiting.size();
        if (needed && open.size() + connecting < Math.max(1, share.getAsInt())) {
            connect(ConnectionEvent.MADE_FOR_CALL);
        }
    }

    private void connect(ConnectionEvent reason) {
        connecting++;
        observer.accept(reason);
        long startNanos = clock.nowNanos();
        LeafConnection connection = new LeafConnection(this, headerNames, clock, limits);
        HostAndPort address = HostAndPort.fromString(leaf.address());
        new Bootstrap()
                .group(group)
                .channel(LeafChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(connection.decoder()).addLast(connection);
                    }
                })
                .connect(new InetSocketAddress(address.getHost(), address.getPort()))
                .addListener((ChannelFuture future) -> onConnectCompleted(future, connection, startNanos));
    }

    private void onConnectCompleted(ChannelFuture future, LeafConnection connection, long startNanos) {
        connecting--;
        if (future.isSuccess()) {
            endDetector.onConnected(startNanos);
            connection.onOpened((LeafChannel) future.channel());
            open.add(connection);
            onIdle(connection);
            probeIfEndSuspected();
            return;
        }
        observer.accept(ConnectionEvent.NOT_MADE);
        ImmutableList<LeafRequest> callsInFlight = endDetector.onConnectFailed(clock.nowNanos());
        if (!callsInFlight.isEmpty() && leaf.acceptsWork()) {
            monitor.onLeafEnded(callsInFlight);
        }
        failWaiting(LeafOutcome.UNREACHABLE);
    }

    private void failWaiting(LeafOutcome outcome) {
        PendingRequest next = waiting.pollFirst();
        while (next != null) {
            next.completed = true;
            next.callback.onFailure(outcome);
            next = waiting.pollFirst();
        }
    }

    /** A handle to abandon a request that was submitted for sending. */
    public interface CallHandle {
        /**
         * Abandons the request. If it was sent, its connection is closed, which makes the leaf cancel it.
         *
         * @return true if it was not sent
         */
        boolean abandon();

        /** Returns true if the request was sent, or handed over to a host that may have sent it. */
        boolean isSent();

        /** Lets a host that the request was handed over to drop it, unless that host has sent it. */
        default void withdraw() {}
    }

    private final class PendingRequest implements CallHandle {
        private final LeafRequest request;
        private final long deadlineNanos;
        private final LeafCallback callback;
        private @Nullable LeafConnection connection;
        private boolean abandoned;
        private boolean completed;

        PendingRequest(LeafRequest request, long deadlineNanos, LeafCallback callback) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
            this.callback = callback;
        }

        void sendOn(LeafConnection target) {
            if (!monitor.maySend(request)) {
                // The request was quarantined while it waited for a connection.
                completed = true;
                onIdle(target);
                callback.onFailure(LeafOutcome.BARRED);
                return;
            }
            if (!leaf.tryAdmit(clock.nowNanos())) {
                completed = true;
                onIdle(target);
                callback.onFailure(LeafOutcome.NO_CONNECTION);
                return;
            }
            connection = target;
            endDetector.onSent(request);
            long remainingMillis = Math.max(1, (deadlineNanos - clock.nowNanos()) / NANOS_PER_MILLI);
            target.send(request, leaf.id(), remainingMillis, new LeafCallback() {
                @Override
                public void onAnswer(LeafAnswer answer) {
                    completed = true;
                    endDetector.onAnswered(request);
                    if (answer.showsSurvival()) {
                        monitor.onAnswered(request);
                    }
                    callback.onAnswer(answer);
                }

                @Override
                public void onFailure(LeafOutcome outcome) {
                    completed = true;
                    recordFailure(outcome);
                    callback.onFailure(outcome);
                }
            });
        }

        private void recordFailure(LeafOutcome outcome) {
            if (abandoned) {
                return;
            }
            monitor.onFailed(request, outcome);
            if (outcome == LeafOutcome.BROKEN) {
                endDetector.onDisconnected(request, clock.nowNanos());
            } else {
                endDetector.onAnswered(request);
            }
        }

        @Override
        public boolean isSent() {
            return connection != null;
        }

        @Override
        public boolean abandon() {
            if (abandoned || completed) {
                return false;
            }
            abandoned = true;
            if (connection == null) {
                waiting.remove(this);
                callback.onFailure(LeafOutcome.NO_CONNECTION);
                return true;
            }
            endDetector.onAbandoned(request, clock.nowNanos());
            connection.close(ConnectionEvent.ENDED_CALL_GIVEN_UP);
            return false;
        }
    }
}
