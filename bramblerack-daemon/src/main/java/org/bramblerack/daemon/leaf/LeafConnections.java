package org.bramblerack.daemon.leaf;

import com.google.common.collect.ImmutableList;
import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.harm.LeafEndDetector;
import org.bramblerack.process.leaf.Leaf;
import org.bramblerack.process.leaf.LeafOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The connections of this host to one leaf.
 *
 * <p>Invariant: open connections and those being made are never more than this host's share of what the leaf accepts.
 * Requests beyond that wait, first come first served. Owned by the event loop.
 */
public final class LeafConnections {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_500;
    private static final int MAX_WAITING = 64;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Leaf leaf;
    private final EventLoopGroup group;
    private final CallHeaders names;
    private final MonotonicClock clock;
    private final IntSupplier share;
    private final Consumer<ConnectionEvent> observer;
    private final CallMonitor watch;
    private final LeafEndDetector<LeafRequest> calls = new LeafEndDetector<>();
    private final Deque<LeafConnection> idle = new ArrayDeque<>();
    private final List<LeafConnection> open = new ArrayList<>(4);
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private int connecting;

    /**
     * Creates a set without connections.
     *
     * @param share how many connections this host may have to the leaf, at least 1
     * @param observer is told what becomes of each connection
     * @param watch is told what becomes of each call
     */
    public LeafConnections(
            Leaf leaf,
            EventLoopGroup group,
            CallHeaders names,
            MonotonicClock clock,
            IntSupplier share,
            Consumer<ConnectionEvent> observer,
            CallMonitor watch) {
        this.leaf = leaf;
        this.group = group;
        this.names = names;
        this.clock = clock;
        this.share = share;
        this.observer = observer;
        this.watch = watch;
    }

    /**
     * Sends a request on an idle connection, or on a new one if this host may open another.
     *
     * <p>Every request to a leaf goes this way, so here is the last check that it may go there at all.
     *
     * @param deadlineNanos when the sender stops waiting
     * @return what to call to give the request up
     */
    public CallHandle send(LeafRequest request, long deadlineNanos, LeafCallback taker) {
        Pending pending = new Pending(request, deadlineNanos, taker);
        if (!watch.maySend(request)) {
            taker.onFailure(LeafOutcome.BARRED);
            return pending;
        }
        if (!leaf.acceptsWork() || !request.mayBeSentTo(leaf)) {
            taker.onFailure(LeafOutcome.NO_CONNECTION);
            return pending;
        }
        LeafConnection free = takeIdle(request.requestId());
        if (free != null) {
            pending.sendOn(free);
        } else if (waiting.size() >= MAX_WAITING) {
            taker.onFailure(LeafOutcome.NO_CONNECTION);
        } else {
            waiting.addLast(pending);
            connectIfAllowed();
        }
        return pending;
    }

    /** Opens a connection ahead of its use, if there is none. */
    public void warm() {
        if (open.isEmpty() && connecting == 0 && waiting.isEmpty()) {
            connect(ConnectionEvent.MADE_AHEAD);
        }
    }

    /** Closes what is idle; requests under way are finished first. */
    public void retire() {
        failWaiting(LeafOutcome.NO_CONNECTION);
        closeIdle();
    }

    /** Closes what is idle; another connection is made when one is needed. */
    public void closeIdle() {
        for (LeafConnection connection : List.copyOf(idle)) {
            connection.close(ConnectionEvent.ENDED_NOT_NEEDED);
        }
    }

    /** Returns how many connections are open or being made. */
    public int count() {
        return open.size() + connecting;
    }

    void idle(LeafConnection connection) {
        if (!leaf.acceptsWork()) {
            connection.close(ConnectionEvent.ENDED_NOT_NEEDED);
            failWaiting(LeafOutcome.NO_CONNECTION);
            return;
        }
        Pending next = nextWaiting();
        if (next == null) {
            idle.addFirst(connection);
        } else {
            next.sendOn(connection);
        }
    }

    void closed(LeafConnection connection, ConnectionEvent reason) {
        observer.accept(reason);
        idle.remove(connection);
        open.remove(connection);
        if (reason == ConnectionEvent.ENDED_WHILE_IDLE) {
            calls.onIdleConnectionClosed(clock.nowNanos());
        }
        confirm();
        if (!waiting.isEmpty()) {
            connectIfAllowed();
        }
    }

    /** Finds out whether the leaf has ended, if that is in doubt, unless a connection is being made anyway. */
    private void confirm() {
        if (calls.isEndSuspected() && connecting == 0 && leaf.acceptsWork()) {
            connect(ConnectionEvent.MADE_TO_CONFIRM);
        }
    }

    private @Nullable LeafConnection takeIdle(String requestId) {
        long nowNanos = clock.nowNanos();
        while (!idle.isEmpty()) {
            LeafConnection candidate = idle.pollFirst();
            boolean usable = candidate.isUsable(nowNanos);
            if (usable && !candidate.lastCarried(requestId)) {
                return candidate;
            }
            candidate.close(usable ? ConnectionEvent.ENDED_SAME_REQUEST : ConnectionEvent.ENDED_RESTED);
        }
        return null;
    }

    private @Nullable Pending nextWaiting() {
        Pending next = waiting.pollFirst();
        while (next != null && next.isGivenUp()) {
            next = waiting.pollFirst();
        }
        return next;
    }

    private void connectIfAllowed() {
        boolean needed = connecting < waiting.size();
        if (needed && open.size() + connecting < Math.max(1, share.getAsInt())) {
            connect(ConnectionEvent.MADE_FOR_CALL);
        }
    }

    private void connect(ConnectionEvent reason) {
        connecting++;
        observer.accept(reason);
        long begunNanos = clock.nowNanos();
        LeafConnection connection = new LeafConnection(this, names, clock);
        HostAndPort address = HostAndPort.fromString(leaf.address());
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new LeafResponseDecoder()).addLast(connection);
                    }
                })
                .connect(new InetSocketAddress(address.getHost(), address.getPort()))
                .addListener((ChannelFuture future) -> connected(future, connection, begunNanos));
    }

    private void connected(ChannelFuture future, LeafConnection connection, long begunNanos) {
        connecting--;
        if (future.isSuccess()) {
            calls.onConnected(begunNanos);
            connection.opened(future.channel());
            open.add(connection);
            idle(connection);
            confirm();
            return;
        }
        observer.accept(ConnectionEvent.NOT_MADE);
        ImmutableList<LeafRequest> onIt = calls.onConnectFailed(clock.nowNanos());
        if (!onIt.isEmpty() && leaf.acceptsWork()) {
            watch.onLeafEnded(onIt);
        }
        failWaiting(LeafOutcome.UNREACHABLE);
    }

    private void failWaiting(LeafOutcome outcome) {
        Pending next = nextWaiting();
        while (next != null) {
            next.done = true;
            next.taker.onFailure(outcome);
            next = nextWaiting();
        }
    }

    /** A way to give up a request that was handed over for sending. */
    public interface CallHandle {
        /**
         * Gives the request up. If it was sent, its connection is closed, so that the leaf drops it.
         *
         * @return true if it was never sent
         */
        boolean abandon();
    }

    private final class Pending implements CallHandle {
        private final LeafRequest request;
        private final long deadlineNanos;
        private final LeafCallback taker;
        private @Nullable LeafConnection connection;
        private boolean givenUp;
        private boolean done;

        Pending(LeafRequest request, long deadlineNanos, LeafCallback taker) {
            this.request = request;
            this.deadlineNanos = deadlineNanos;
            this.taker = taker;
        }

        void sendOn(LeafConnection free) {
            if (!watch.maySend(request)) {
                // It waited for a connection while the others were found to end with it.
                done = true;
                idle(free);
                taker.onFailure(LeafOutcome.BARRED);
                return;
            }
            if (!leaf.tryAdmit(clock.nowNanos())) {
                done = true;
                idle(free);
                taker.onFailure(LeafOutcome.NO_CONNECTION);
                return;
            }
            connection = free;
            calls.onSent(request);
            long remainingMillis = Math.max(1, (deadlineNanos - clock.nowNanos()) / NANOS_PER_MILLI);
            free.send(request, leaf.id(), remainingMillis, new LeafCallback() {
                @Override
                public void onAnswer(LeafAnswer answer) {
                    done = true;
                    calls.onAnswered(request);
                    if (answer.showsSurvival()) {
                        watch.onAnswered(request);
                    }
                    taker.onAnswer(answer);
                }

                @Override
                public void onFailure(LeafOutcome outcome) {
                    done = true;
                    noteFailure(outcome);
                    taker.onFailure(outcome);
                }
            });
        }

        private void noteFailure(LeafOutcome outcome) {
            if (givenUp) {
                return;
            }
            watch.onFailed(request, outcome);
            if (outcome == LeafOutcome.BROKEN) {
                calls.onDisconnected(request, clock.nowNanos());
            } else {
                calls.onAnswered(request);
            }
        }

        boolean isGivenUp() {
            return givenUp;
        }

        @Override
        public boolean abandon() {
            if (givenUp || done) {
                return false;
            }
            givenUp = true;
            if (connection == null) {
                taker.onFailure(LeafOutcome.NO_CONNECTION);
                return true;
            }
            calls.onAbandoned(request, clock.nowNanos());
            connection.close(ConnectionEvent.ENDED_CALL_GIVEN_UP);
            return false;
        }
    }
}
