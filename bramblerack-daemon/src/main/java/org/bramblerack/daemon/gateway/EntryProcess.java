package org.bramblerack.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.fleet.HostIncarnation;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopWindow;
import org.bramblerack.process.quota.QuotaBound;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;

/**
 * A process of the entry role: creates its components, starts and stops them.
 *
 * <p>Started once and stopped once. All components run on one event loop.
 */
public final class EntryProcess {
    private static final EventLog EVENTS = EventLog.of(EntryProcess.class);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    /**
     * How long a stopping host keeps unused connections open: until the load balancer has failed two readiness checks
     * and the other hosts have received the change of the tables.
     */
    private static final Duration KEEP_IDLE_AFTER_STOP = Duration.ofMillis(3_200);
    /** The part of the stop limit in which unused connections are kept open at most. */
    private static final double MAX_SHARE_KEEPING_IDLE = 0.6;
    /** How long before the stop limit the requests in flight are ended, so that their answers can be written. */
    private static final Duration TIME_TO_ANSWER = Duration.ofMillis(200);

    private final EntrySettings settings;
    private final MonotonicClock clock;
    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final FleetView view;
    private final PeerNetwork network;
    private final TableFollower follower;
    private final TeamRateLimits limits;
    private final Gateway gateway;
    private final HarmReporter harmReporter;
    private final PeerServer peers;
    private final HttpListener callers;
    private final HostIncarnation incarnation;
    private final HostWarmUp warmUp;
    private volatile boolean warm;
    private volatile boolean stopping;

    /**
     * Creates a process without starting it.
     *
     * @param incarnation identifies this start of the host
     */
    public EntryProcess(
            EntrySettings settings,
            CallHeaders headerNames,
            ConfigurationCodec codec,
            MetricRegistry metrics,
            MonotonicClock clock,
            RandomGenerator random,
            long incarnation) {
        this.settings = settings;
        this.clock = clock;
        this.incarnation = new HostIncarnation(settings.name(), incarnation);
        EventLoop loop = group.next();
        this.view = new FleetView(
                settings.peerAddress().toString(),
                settings.location(),
                settings.budget(),
                settings.coldRequestLimit(),
                settings.routing(),
                headerNames,
                group,
                clock,
                random);
        view.onSelfRemoved(() -> this.incarnation.renew(view.revision()));
        PeerTraffic traffic =
                new PeerTraffic(metrics, host -> view.otherRegionOf(host).isPresent());
        this.network = PeerNetwork.byAddress(settings.peerAddress().toString(), group, LinkPolicy.OPEN, traffic);
        this.follower =
                new TableFollower(view, codec, network, loop, clock, settings.seeds(), this::hostRecord, random);
        this.limits = settings.quota()
                .map(bound -> fleetLimits(bound, metrics, loop, random))
                .orElse(TeamRateLimits.NONE);
        this.gateway = new Gateway(
                view,
                follower::isSynchronized,
                new NewestVersion(follower::isCurrent, view, network, follower::controlHost, loop),
                limits,
                follower::controlHost,
                network,
                headerNames,
                new GatewayMetrics(metrics, clock),
                clock,
                loop,
                random);
        this.harmReporter = new HarmReporter(
                view.harmFilter(), network, follower::controlHost, () -> otherEntryHosts(settings), loop, random);
        this.warmUp = new HostWarmUp(
                view,
                steps -> new WarmUp(
                        headerNames,
                        group,
                        settings.peerAddress().getHost(),
                        settings.peerAddress().getPort() + 1,
                        clock,
                        steps),
                loop,
                clock);
        this.peers = new PeerServer(settings.peerAddress(), this::handle, group, LinkPolicy.OPEN, traffic);
        this.callers = new HttpListener(
                settings.callerAddress(),
                group,
                new DepartedCallerFilter(view.routing().eventLoopLag(), clock, exchange -> {
                    warmUp.onWork();
                    gateway.handle(exchange);
                }),
                () -> view.configuration().limits(),
                clock);
    }

    /**
     * Starts to listen and to follow the tables.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void start() throws InterruptedException {
        peers.start();
        callers.start();
        follower.start();
        harmReporter.start();
        gateway.start();
        limits.start();
        warmUp.runAtStart();
        warm = true;
        follower.announce();
        EVENTS.info("started")
                .with("host", settings.name())
                .with("address", settings.callerAddress().toString())
                .write();
    }

    /** Returns true if the load balancer should send callers to this host. */
    public boolean isReady() {
        return warm && !stopping && gateway.isReady();
    }

    /** Applies the settings that may change while the process runs: the seeds. */
    public void reload(EntrySettings changed) {
        follower.setSeeds(changed.seeds());
        EVENTS.info("settings_reloaded")
                .with("host", settings.name())
                .with("seeds", String.join(" ", changed.seeds()))
                .write();
    }

    /** Returns the event loop, to be shared with other listeners. */
    public EventLoopGroup eventLoop() {
        return group;
    }

    /**
     * Stops the process within the stop limit of the settings. First reports not ready and keeps serving callers and
     * other hosts, so that they can detect the stop and switch to backups; then closes unused connections and finishes
     * the requests in flight. Throughout, a request is accepted only if it will be answered before the process ends.
     * Requests that have no answer shortly before the stop limit are answered with what is known of them.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void stop() throws InterruptedException {
        long limitNanos = settings.stopLimit().toNanos();
        long startedNanos = clock.nowNanos();
        long stopLimitNanos = startedNanos + limitNanos;
        long lastAnswerNanos = stopLimitNanos - Math.min(TIME_TO_ANSWER.toNanos(), limitNanos / 2);
        long closeIdleNanos =
                startedNanos + Math.min(KEEP_IDLE_AFTER_STOP.toNanos(), (long) (MAX_SHARE_KEEPING_IDLE * limitNanos));
        stopping = true;
        gateway.beginStop(StopWindow.closingAt(lastAnswerNanos));
        callers.beginStop();
        follower.announce();
        EVENTS.info("stopping").with("host", settings.name()).write();
        await(closeIdleNanos, () -> false);
        gateway.refuseQueriesOfHosts();
        await(lastAnswerNanos, () -> {
            callers.closeIdle();
            return isDrained();
        });
        callers.drain(remaining(lastAnswerNanos));
        await(lastAnswerNanos, () -> gateway.callsOfOtherHosts() == 0);
        endRequests();
        callers.drain(remaining(stopLimitNanos));
        follower.stop();
        harmReporter.stop();
        limits.stop();
        gateway.stop();
        peers.stop();
        network.stop();
        EVENTS.info("stopped")
                .with("host", settings.name())
                .with("connectionsOpen", callers.connectionCount())
                .write();
    }

    /** Answers what has no answer yet, and refuses what still arrives. */
    private void endRequests() {
        int callersInFlight = callers.inFlight();
        int callsInFlight = gateway.callsOfOtherHosts();
        if (callersInFlight + callsInFlight > 0) {
            EVENTS.warning("ended_unfinished")
                    .with("host", settings.name())
                    .with("callers", callersInFlight)
                    .with("callsOfHosts", callsInFlight)
                    .write();
        }
        gateway.endRequests();
        callers.endRequests();
    }

    private void await(long deadlineNanos, BooleanSupplier done) throws InterruptedException {
        while (!done.getAsBoolean() && clock.nowNanos() - deadlineNanos < 0) {
            long sleepNanos = Math.min(POLL_INTERVAL.toNanos(), deadlineNanos - clock.nowNanos());
            TimeUnit.NANOSECONDS.sleep(Math.max(0, sleepNanos));
        }
    }

    private Duration remaining(long deadlineNanos) {
        return Duration.ofNanos(Math.max(0, deadlineNanos - clock.nowNanos()));
    }

    private boolean isDrained() {
        return callers.isIdle() && callers.connectionCount() == 0 && gateway.callsOfOtherHosts() == 0;
    }

    /** Stops at once without waiting for requests in progress. */
    public void stopNow() {
        stopping = true;
        callers.stopNow();
        follower.stop();
        harmReporter.stop();
        limits.stop();
        gateway.stop();
        peers.stop();
        network.stop();
    }

    private void handle(Envelope message, Consumer<Envelope.Builder> reply) {
        if (message.hasStageCall()) {
            warmUp.onWork();
        }
        gateway.handle(message, reply);
    }

    private TeamRateLimits fleetLimits(
            QuotaBound bound, MetricRegistry metrics, EventLoop loop, RandomGenerator random) {
        FleetLimits fleetLimits = new FleetLimits(
                settings.peerAddress().toString(),
                bound,
                view,
                follower::isCurrent,
                network,
                new LimitMetrics(metrics),
                clock,
                InstantSource.system(),
                loop,
                random);
        view.onHostsChanged(fleetLimits::onHostsChanged);
        return fleetLimits;
    }

    private ImmutableList<String> otherEntryHosts(EntrySettings settings) {
        return view.entryHosts().stream()
                .map(HostRecord::getPeerAddress)
                .filter(address -> !address.equals(settings.peerAddress().toString()))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the record of this host for the tables; empty during the warm-up, since other hosts would otherwise call
     * it while its code is not loaded and its processor is busy.
     */
    private Optional<HostRecord> hostRecord() {
        if (!warm) {
            return Optional.empty();
        }
        return Optional.of(HostRecord.newBuilder()
                .setName(settings.name())
                .setPeerAddress(settings.peerAddress().toString())
                .setZone(settings.location().zone())
                .setRegion(settings.location().region())
                .setEntry(true)
                .setIncarnation(incarnation.number())
                .setPhase(stopping ? HostRecord.Phase.LEAVING : HostRecord.Phase.READY)
                .build());
    }
}
