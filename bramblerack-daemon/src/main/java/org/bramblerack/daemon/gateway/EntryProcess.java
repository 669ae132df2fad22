package org.bramblerack.daemon.gateway;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.http.HttpListener;
import org.bramblerack.daemon.leaf.CallHeaders;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.process.MonotonicClock;
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
     * How long a stopping host still accepts requests: until the load balancer has failed two readiness checks and the
     * other hosts have received the change of the tables.
     */
    private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(3_200);
    /**
     * How long before its end a stopping host refuses new requests; covers the longest single request and its network
     * paths.
     */
    private static final Duration REFUSE_BEFORE_END = Duration.ofMillis(1_500);

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
    private final long incarnation;
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
        this.incarnation = incarnation;
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
                exchange -> {
                    warmUp.onWork();
                    gateway.handle(exchange);
                },
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
     * other hosts, so that they can detect the stop and switch to backups; then finishes the requests in progress, and
     * refuses those that it could not finish in time.
     *
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    public void stop() throws InterruptedException {
        long stopStartedNanos = clock.nowNanos();
        stopping = true;
        callers.beginStop();
        follower.announce();
        EVENTS.info("stopping").with("host", settings.name()).write();
        while (elapsedNanos(stopStartedNanos) < ACCEPT_AFTER_STOP.toNanos()) {
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        gateway.beginStop();
        callers.closeIdle();
        long stopLimitNanos = settings.stopLimit().toNanos();
        long refuseAfterNanos = stopLimitNanos - REFUSE_BEFORE_END.toNanos();
        while (elapsedNanos(stopStartedNanos) < stopLimitNanos && !isDrained()) {
            if (elapsedNanos(stopStartedNanos) >= refuseAfterNanos) {
                gateway.refuseCallers();
            }
            callers.closeIdle();
            Thread.sleep(POLL_INTERVAL.toMillis());
        }
        gateway.refuseCallers();
        callers.drain(Duration.ofNanos(Math.max(0, stopLimitNanos - elapsedNanos(stopStartedNanos))));
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

    private long elapsedNanos(long sinceNanos) {
        return clock.nowNanos() - sinceNanos;
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
                .setIncarnation(incarnation)
                .setPhase(stopping ? HostRecord.Phase.LEAVING : HostRecord.Phase.READY)
                .build());
    }
}
