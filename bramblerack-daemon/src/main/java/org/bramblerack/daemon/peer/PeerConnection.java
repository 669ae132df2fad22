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
 * The connection to one other host, made when it is first needed and made again after it was lost.
 *
 * <p>A connection on which something was written and nothing came back for a while is closed, since a cut says nothing
 * and a connection that outlived one may take long to carry anything again.
 *
 * <p>Invariants: every request is completed exactly once, by its reply or by a {@link PeerFailure} that says whether it
 * was handed over. What waits to be written is bounded: beyond that, requests are not sent. Attempts to connect are
 * spaced out.
 *
 * <p>Safe for use by many threads. The lock of this object guards only the state of connecting; nothing is called under
 * it.
 */
final class PeerConnection {
    private static final EventLog EVENTS = EventLog.of(PeerConnection.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    /** How often each connection is to be probed. */
    static final Duration PROBE_PERIOD = Duration.ofMillis(500);

    /** Two probes and a round trip between regions without a sign of life. */
    private static final long SILENCE_NANOS = Duration.ofMillis(1_300).toNanos();

    /** Long enough to connect to another region even on a host that has just started and is busy. */
    private static final Duration CONNECTION_WAIT = Duration.ofMillis(500);
    /** Requests beyond these are not sent while a connection is made. */
    private static final int MOST_AWAITING = 256;

    private static final long RECONNECT_NANOS = Duration.ofMillis(200).toNanos();

    private final String self;
    private final HostEntry remote;
    private final EventLoopGroup group;
    private final LinkPolicy links;
    private final PeerTraffic traffic;
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private final Map<Long, Pending> pending = new ConcurrentHashMap<>();
    private volatile @Nullable Channel channel;
    private volatile Optional<Long> unansweredSinceNanos = Optional.empty();
    /** What waits for a connection that is being made; each is an object of its own, so that it can be taken out. */
    private final List<Consumer<@Nullable Channel>> awaiting = new ArrayList<>();

    private boolean connecting;
    private boolean closed;
    private long lastAttemptNanos = System.nanoTime() - RECONNECT_NANOS;

    PeerConnection(String self, HostEntry remote, EventLoopGroup group, LinkPolicy links, PeerTraffic traffic) {
        this.self = self;
        this.remote = remote;
        this.group = group;
        this.links = links;
        this.traffic = traffic;
    }

    /**
     * Sends a message that asks for no reply; it may be lost. If there is no connection, it waits a moment for one that
     * is being made: otherwise the first request for a vote after a start would always be lost.
     */
    void send(Envelope.Builder message) {
        Channel open = openChannel();
        if (open != null || !awaitConnection(made -> sendOn(made, message))) {
            sendOn(activeChannel(), message);
        }
    }

    private void sendOn(@Nullable Channel open, Envelope.Builder message) {
        if (open != null && open.isWritable() && !links.isPartitioned(remote.name())) {
            write(open, message.setSender(self).build());
        }
    }

    /** Sends a message that asks for a reply. The request is made when the result is subscribed to. */
    Uni<Envelope> request(Envelope.Builder message, Duration timeout, Consumer<Envelope> progress) {
        return Uni.createFrom().emitter(emitter -> requestOn(openChannel(), message, timeout, progress, emitter));
    }

    /**
     * Sends a message that asks for a reply; if there is no connection, it waits a moment for one that is being made.
     *
     * @param message makes the message when it is sent, so that the times in it are those of then
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

    /** Has a task run once there is a connection, or with none if there is none soon; false if none is being made. */
    private boolean awaitConnection(Consumer<@Nullable Channel> task) {
        synchronized (this) {
            if (!connecting || awaiting.size() >= MOST_AWAITING) {
                return false;
            }
            awaiting.add(task);
        }
        group.next()
                .schedule(
                        () -> {
                            boolean stillWaits;
                            synchronized (this) {
                                stillWaits = awaiting.remove(task);
                            }
                            if (stillWaits) {
                                task.accept(null);
                            }
                        },
                        CONNECTION_WAIT.toNanos(),
                        TimeUnit.NANOSECONDS);
        return true;
    }

    private void requestOn(
            @Nullable Channel open,
            Envelope.Builder message,
            Duration timeout,
            Consumer<Envelope> progress,
            UniEmitter<? super Envelope> emitter) {
        if (open == null || !open.isWritable() || links.isPartitioned(remote.name())) {
            emitter.fail(new PeerFailure(PeerFailure.Kind.NOT_SENT, "no connection to " + remote.name()));
            return;
        }
        long correlation = nextCorrelation.getAndIncrement();
        ScheduledFuture<?> giveUp = open.eventLoop()
                .schedule(
                        () -> fail(correlation, PeerFailure.Kind.SENT, "no reply in " + timeout),
                        timeout.toNanos(),
                        TimeUnit.NANOSECONDS);
        pending.put(correlation, new Pending(emitter, open, giveUp, progress));
        if (giveUp.isDone()) {
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
        awaitSignOfLife();
        traffic.sent(remote.name(), message);
        Duration delay = links.delay(remote.name());
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

    /** Returns the connection if there is one: it may have been made by its own thread a moment ago. */
    private @Nullable Channel activeChannel() {
        Channel open = channel;
        return open != null && open.isActive() ? open : null;
    }

    private void connect() {
        synchronized (this) {
            boolean tooSoon = System.nanoTime() - lastAttemptNanos < RECONNECT_NANOS;
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
                .handler(new FramePipeline(Replies::new))
                .connect(new InetSocketAddress(
                        remote.peerAddress().getHost(), remote.peerAddress().getPort()))
                .addListener((ChannelFuture future) -> connected(future));
    }

    private void connected(ChannelFuture future) {
        boolean keep;
        List<Consumer<@Nullable Channel>> waited;
        synchronized (this) {
            connecting = false;
            waited = List.copyOf(awaiting);
            awaiting.clear();
            keep = future.isSuccess() && !closed;
            if (keep) {
                unansweredSinceNanos = Optional.empty();
                channel = future.channel();
            }
        }
        if (!keep && future.isSuccess()) {
            future.channel().close();
        }
        waited.forEach(task -> task.accept(keep ? future.channel() : null));
    }

    /**
     * Asks for a sign of life if something was written and nothing came since, and closes a connection that has not
     * given one for long. To be called every {@link #PROBE_PERIOD}.
     */
    void probe() {
        Channel open = channel;
        Optional<Long> unanswered = unansweredSinceNanos;
        if (open == null || !open.isActive() || unanswered.isEmpty()) {
            return;
        }
        if (System.nanoTime() - unanswered.get() > SILENCE_NANOS) {
            EVENTS.info("connection_silent").with("host", remote.name()).write();
            open.close();
            return;
        }
        if (!links.isPartitioned(remote.name())) {
            open.writeAndFlush(Envelope.newBuilder()
                    .setSender(self)
                    .setPing(Ping.getDefaultInstance())
                    .build());
        }
    }

    /** Notes that something is written, from when on silence counts unless it counts already. */
    private void awaitSignOfLife() {
        if (unansweredSinceNanos.isEmpty()) {
            unansweredSinceNanos = Optional.of(System.nanoTime());
        }
    }

    private void fail(long correlation, PeerFailure.Kind kind, String reason) {
        Pending waiting = pending.remove(correlation);
        if (waiting != null) {
            waiting.giveUp().cancel(false);
            waiting.emitter().fail(new PeerFailure(kind, remote.name() + ": " + reason));
        }
    }

    /**
     * A request that waits for its reply.
     *
     * @param giveUp fails it when its time is over; cancelled with its end, so that it wakes nobody later
     */
    private record Pending(
            UniEmitter<? super Envelope> emitter,
            Channel channel,
            ScheduledFuture<?> giveUp,
            Consumer<Envelope> progress) {}

    /** Completes the requests of one connection. */
    private final class Replies extends SimpleChannelInboundHandler<Envelope> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, Envelope message) {
            if (links.isPartitioned(remote.name())) {
                return;
            }
            unansweredSinceNanos = Optional.empty();
            if (message.hasStageProgress()) {
                Pending working = pending.get(message.getCorrelationId());
                if (working != null) {
                    working.progress().accept(message);
                }
                return;
            }
            Pending waiting = pending.remove(message.getCorrelationId());
            if (waiting != null) {
                waiting.giveUp().cancel(false);
                waiting.emitter().complete(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pending.forEach((correlation, waiting) -> {
                if (waiting.channel() == context.channel()) {
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
