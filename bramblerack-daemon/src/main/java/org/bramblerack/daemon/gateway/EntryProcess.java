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
 * A process of the entry role: wires its parts together, starts and stops them.
 *
 * <p>Started once, stopped once. All of its parts run on one event loop.
 */
public final class EntryProcess {
    private static final EventLog EVENTS = EventLog.of(EntryProcess.class);
    private static final Duration LOOK_EVERY = Duration.ofMillis(50);
    /**
     * For how long a stopping host still takes requests: callers reach it until the balancer has missed its readiness
     * twice and a table has told the other hosts.
     */
    private static final Duration STILL_TAKES_REQUESTS = Duration.ofMillis(3_200);
    /**
     * How long before it ends a stopping host refuses what comes: the work of the longest single requests of the users'
     * sites is just under a second, and half a second is for the ways and a busy leaf.
     */
    private static final Duration FINISHES_WITHIN = Duration.ofMillis(1_500);

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
     * Creates a process that does nothing yet.
     *
     * @param incarnation tells this start of the host from others
     */
    public EntryProcess(
            EntrySettings settings,
            CallHeaders names,
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
                names,
                group,
                clock,
                random);
        PeerTraffic traffic =
                new PeerTraffic(metrics, host -> view.otherRegionOf(host).isPresent());
        this.network = PeerNetwork.byAddress(settings.peerAddress().toString(), group, LinkPolicy.OPEN, traffic);
        this.follower = new TableFollower(view, codec, network, loop, clock, settings.seeds(), this::self, random);
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
                names,
                new GatewayMetrics(metrics, clock),
                clock,
                loop,
                random);
        this.harmReporter = new HarmReporter(
                view.harmFilter(), network, follower::controlHost, () -> otherEntryHosts(settings), loop, random);
        this.warmUp = new HostWarmUp(
                view,
                steps -> new WarmUp(
                        names,
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
                    warmUp.workCame();
                    gateway.handle(exchange);
                },
                () -> view.configuration().limits(),
                clock);
    }

    /**
     * Begins to listen and to follow the tables.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void start() throws InterruptedException {
        peers.start();
        callers.start();
        follower.start();
        harmReporter.start();
        gateway.start();
        limits.start();
        warmUp.atStart();
        warm = true;
        follower.announce();
        EVENTS.info("started")
                .with("host", settings.name())
                .with("address", settings.callerAddress().toString())
                .write();
    }

    /** Returns true if callers should be sent here. */
    public boolean isReady() {
        return warm && !stopping && gateway.isReady();
    }

    /** Takes over from changed settings what may change while the process runs: the seeds. */
    public void reload(EntrySettings changed) {
        follower.setSeeds(changed.seeds());
        EVENTS.info("settings_reloaded")
                .with("host", settings.name())
                .with("seeds", String.join(" ", changed.seeds()))
                .write();
    }

    /** Returns the event loop, for listeners that share it. */
    public EventLoopGroup eventLoop() {
        return group;
    }

    /**
     * Stops: is no longer ready and says so, goes on serving callers and other hosts until they have had time to notice
     * and to ask the hosts that stand in for it, finishes what is under way, refuses what it could not finish, and ends
     * within the limit of the settings.
     *
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public void stop() throws InterruptedException {
        long beganNanos = clock.nowNanos();
        stopping = true;
        callers.beginStop();
        follower.announce();
        EVENTS.info("stopping").with("host", settings.name()).write();
        while (sinceNanos(beganNanos) < STILL_TAKES_REQUESTS.toNanos()) {
            Thread.sleep(LOOK_EVERY.toMillis());
        }
        gateway.beginStop();
        callers.closeIdle();
        long limitNanos = settings.stopLimit().toNanos();
        long refusesAfterNanos = limitNanos - FINISHES_WITHIN.toNanos();
        while (sinceNanos(beganNanos) < limitNanos && !(callers.isIdle() && callers.connectionCount() == 0)) {
            if (sinceNanos(beganNanos) >= refusesAfterNanos) {
                gateway.refuseCallers();
            }
            callers.closeIdle();
            Thread.sleep(LOOK_EVERY.toMillis());
        }
        callers.stopListening();
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

    /** Ends everything at once, whatever is under way. */
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
            warmUp.workCame();
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
        view.onHostsChanged(fleetLimits::hostsChanged);
        return fleetLimits;
    }

    private ImmutableList<String> otherEntryHosts(EntrySettings settings) {
        return view.entryHosts().stream()
                .map(HostRecord::getPeerAddress)
                .filter(address -> !address.equals(settings.peerAddress().toString()))
                .collect(ImmutableList.toImmutableList());
    }

    private long sinceNanos(long beganNanos) {
        return clock.nowNanos() - beganNanos;
    }

    /**
     * Returns what the tables should say of this host: nothing as long as it warms up, since others would have it ask
     * their shards by code that is not loaded yet, on a processor that is busy with that.
     */
    private Optional<HostRecord> self() {
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
