package org.bramblerack.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.ScheduledFuture;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.settings.HostEntry;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.Ping;
import org.jspecify.annotations.Nullable;

/**
 * The connection to one other host, opened when it is first needed and reopened after it was lost.
 *
 * <p>A connection that receives nothing for {@link #SILENCE_TIMEOUT_NANOS} after a write is closed, because a network
 * partition closes no connection, and one that outlived a partition may recover slowly.
 *
 * <p>Invariants: every request is completed exactly once, by its reply or by a {@link PeerFailure} that says whether it
 * was sent. The write buffer is bounded, and requests beyond it fail as not sent. Attempts to connect are spaced by
 * {@link #RECONNECT_INTERVAL_NANOS}.
 *
 * <p>Safe for use by many threads. The lock of this object guards only the connecting state, and no callback is invoked
 * while it is held.
 */
final class PeerConnection {
    private static final EventLog EVENTS = EventLog.of(PeerConnection.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** The interval at which {@link #probe} is to be called. */
    static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** Two probe periods and a round trip between regions. */
    private static final long SILENCE_TIMEOUT_NANOS = Duration.ofMillis(1_300).toNanos();

    /** Long enough to connect to another region from a host that has just started and is busy. */
    private static final Duration MAX_CONNECTION_WAIT = Duration.ofMillis(500);
    /** Further messages are not sent while a connection is being opened. */
    private static final int MAX_WAITING_TASKS = 256;

    private static final long RECONNECT_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    private final String self;
    private final HostEntry remote;
    private final EventLoopGroup group;
    private final LinkPolicy linkPolicy;
    private final PeerTraffic traffic;
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private final Map<Long, PendingRequest> pending = new ConcurrentHashMap<>();
    private volatile @Nullable Channel channel;
    private volatile Optional<Long> unansweredSinceNanos = Optional.empty();
    /** The tasks that wait for the connection being opened. Each is a distinct object, so that it can be removed. */
    private final List<Consumer<@Nullable Channel>> waitingTasks = new ArrayList<>();

    private boolean connecting;
    private boolean closed;
    private long lastAttemptNanos = System.nanoTime() - RECONNECT_INTERVAL_NANOS;

    PeerConnection(String self, HostEntry remote, EventLoopGroup group, LinkPolicy linkPolicy, PeerTraffic traffic) {
        this.self = self;
        this.remote = remote;
        this.group = group;
        this.linkPolicy = linkPolicy;
        this.traffic = traffic;
    }

    /**
     * Sends a message without a reply, which may be lost. Waits briefly for a connection that is being opened, because
     * otherwise the first request for a vote after a start would always be lost.
     */
    void send(Envelope.Builder message) {
        Channel open = openChannel();
        if (open != null || !awaitConnection(connected -> sendOn(connected, message))) {
            sendOn(activeChannel(), message);
        }
    }

    private void sendOn(@Nullable Channel open, Envelope.Builder message) {
        if (open != null && open.isWritable() && !linkPolicy.isPartitioned(remote.name())) {
            write(open, message.setSender(self).build());
        }
    }

    /** Sends a message that expects a reply, when the result is subscribed to. */
    Uni<Envelope> request(Envelope.Builder message, Duration timeout, Consumer<Envelope> progress) {
        return Uni.createFrom().emitter(emitter -> requestOn(openChannel(), message, timeout, progress, emitter));
    }

    /**
     * Sends a message that expects a reply; waits briefly for a connection that is being opened.
     *
     * @param message builds the message when it is sent, so that the remaining times in it are correct
     */
    Uni<Envelope> requestWhenConnected(
            Supplier<Envelope.Builder> message, Duration timeout, Consumer<Envelope> progress) {
        return Uni.createFrom().emitter(emitter -> {
            Channel open = openChannel();
            Consumer<@Nullable Channel> send = channel -> requestOn(channel, message.get(), timeout, progress, emitter);
            if (open != null || !awaitConnection(send)) {
                send.accept(activeChannel());
            }
        });
    }

    /**
     * Runs a task once the connection is open, or with null if it is not open in time. Returns false, without running
     * the task, if no connection is being opened or too many tasks wait.
     */
    private boolean awaitConnection(Consumer<@Nullable Channel> task) {
        synchronized (this) {
            if (!connecting || waitingTasks.size() >= MAX_WAITING_TASKS) {
                return false;
            }
            waitingTasks.add(task);
        }
        group.next()
                .schedule(
                        () -> {
                            boolean stillWaiting;
                            synchronized (this) {
                                stillWaiting = waitingTasks.remove(task);
                            }
                            if (stillWaiting) {
                                task.accept(null);
                            }
                        },
                        MAX_CONNECTION_WAIT.toNanos(),
                        TimeUnit.NANOSECONDS);
        return true;
    }

    private void requestOn(
            @Nullable Channel open,
            Envelope.Builder message,
            Duration timeout,
            Consumer<Envelope> progress,
            UniEmitter<? super Envelope> emitter) {
        if (open == null || !open.isWritable() || linkPolicy.isPartitioned(remote.name())) {
            emitter.fail(new PeerFailure(PeerFailure.Kind.NOT_SENT, "no connection to " + remote.name()));
            return;
        }
        long correlation = nextCorrelation.getAndIncrement();
        ScheduledFuture<?> timeoutTask = open.eventLoop()
                .schedule(
                        () -> fail(correlation, PeerFailure.Kind.SENT, "no reply in " + timeout),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        pending.put(correlation, new PendingRequest(emitter, open, timeoutTask, progress));
        if (timeoutTask.isDone()) {
            fail(correlation, PeerFailure.Kind.NOT_SENT, "no time was left for a reply");
            return;
        }
        write(open, message.setSender(self).setCorrelationId(correlation).build());
    }

    void close() {
        synchronized (this) {
            closed = true;
        }
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    private void write(Channel open, Envelope message) {
        startSilenceTimer();
        traffic.recordSent(remote.name(), message);
        Duration delay = linkPolicy.delay(remote.name());
        if (delay.isZero()) {
            open.writeAndFlush(message);
        } else {
            open.eventLoop().schedule(() -> open.writeAndFlush(message), delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private @Nullable Channel openChannel() {
        Channel open = activeChannel();
        if (open == null) {
            connect();
        }
        return open;
    }

    /** Returns the channel if it is active. The event loop may have opened it since the last check. */
    private @Nullable Channel activeChannel() {
        Channel open = channel;
        return open != null && open.isActive() ? open : null;
    }

    private void connect() {
        synchronized (this) {
            boolean tooSoon = System.nanoTime() - lastAttemptNanos < RECONNECT_INTERVAL_NANOS;
            if (connecting || closed || tooSoon) {
                return;
            }
            connecting = true;
            lastAttemptNanos = System.nanoTime();
        }
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new FramePipeline(ReplyHandler::new))
                .connect(new InetSocketAddress(
                        remote.peerAddress().getHost(), remote.peerAddress().getPort()))
                .addListener((ChannelFuture future) -> onConnected(future));
    }

    private void onConnected(ChannelFuture future) {
        boolean keep;
        List<Consumer<@Nullable Channel>> tasks;
        synchronized (this) {
            connecting = false;
            tasks = List.copyOf(waitingTasks);
            waitingTasks.clear();
            keep = future.isSuccess() && !closed;
            if (keep) {
                unansweredSinceNanos = Optional.empty();
                channel = future.channel();
            }
        }
        if (!keep && future.isSuccess()) {
            future.channel().close();
        }
        tasks.forEach(task -> task.accept(keep ? future.channel() : null));
    }

    /**
     * Sends a ping if nothing was received since the first unanswered write, and closes the connection after
     * {@link #SILENCE_TIMEOUT_NANOS}. Call it every {@link #PROBE_PERIOD}.
     */
    void probe() {
        Channel open = channel;
        Optional<Long> unanswered = unansweredSinceNanos;
        if (open == null || !open.isActive() || unanswered.isEmpty()) {
            return;
        }
        if (System.nanoTime() - unanswered.get() > SILENCE_TIMEOUT_NANOS) {
            EVENTS.info("connection_silent").with("host", remote.name()).write();
            open.close();
            return;
        }
        if (!linkPolicy.isPartitioned(remote.name())) {
            open.writeAndFlush(Envelope.newBuilder()
                    .setSender(self)
                    .setPing(Ping.getDefaultInstance())
                    .build());
        }
    }

    /** Starts the silence timeout at a write unless it is running. */
    private void startSilenceTimer() {
        if (unansweredSinceNanos.isEmpty()) {
            unansweredSinceNanos = Optional.of(System.nanoTime());
        }
    }

    private void fail(long correlation, PeerFailure.Kind kind, String reason) {
        PendingRequest request = pending.remove(correlation);
        if (request != null) {
            request.timeoutTask().cancel(false);
            request.emitter().fail(new PeerFailure(kind, remote.name() + ": " + reason));
        }
    }

    /**
     * A request that waits for its reply.
     *
     * @param timeoutTask fails the request at its timeout; cancelled when the request ends, so that it causes no later
     *     wakeup
     */
    private record PendingRequest(
            UniEmitter<? super Envelope> emitter,
            Channel channel,
            ScheduledFuture<?> timeoutTask,
            Consumer<Envelope> progress) {}

    /** Completes the pending requests of one connection. */
    private final class ReplyHandler extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (linkPolicy.isPartitioned(remote.name())) {
                return;
            }
            unansweredSinceNanos = Optional.empty();
            if (message.hasStageProgress()) {
                PendingRequest request = pending.get(message.getCorrelationId());
                if (request != null) {
                    request.progress().accept(message);
                }
                return;
            }
            PendingRequest request = pending.remove(message.getCorrelationId());
            if (request != null) {
                request.timeoutTask().cancel(false);
                request.emitter().complete(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pending.forEach((correlation, request) -> {
                if (request.channel() == context.channel()) {
                    fail(correlation, PeerFailure.Kind.SENT, "the connection was lost");
                }
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
