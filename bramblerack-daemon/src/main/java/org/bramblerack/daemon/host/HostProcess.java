package org.bramblerack.daemon.host;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.lang.System.Logger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.entry.EntryServer;
import org.bramblerack.daemon.entry.HostMetrics;
import org.bramblerack.daemon.entry.LeafRouter;
import org.bramblerack.daemon.entry.OnceOnlyRunner;
import org.bramblerack.daemon.entry.OperatorApi;
import org.bramblerack.daemon.entry.QueryRunner;
import org.bramblerack.daemon.entry.RequestIds;
import org.bramblerack.daemon.entry.StoppingState;
import org.bramblerack.daemon.holder.HolderService;
import org.bramblerack.daemon.holder.HttpUpstreamProtocol;
import org.bramblerack.daemon.holder.UpstreamHarm;
import org.bramblerack.daemon.holder.UpstreamStatusRegistry;
import org.bramblerack.daemon.lifecycle.BoundedStop;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.PeerServer;
import org.bramblerack.daemon.peer.PeerTraffic;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.daemon.settings.PlatformSource;
import org.bramblerack.daemon.settings.Role;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.process.MembershipTable;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.StopAdmission;
import org.bramblerack.process.StopWindow;
import org.bramblerack.process.agreement.RaftTimings;
import org.bramblerack.process.directory.ServiceDirectory;

/**
 * A host process, assembled from its settings.
 *
 * <p>Started once and stopped once. Components start before those that depend on them and stop after them. Public
 * methods are safe for use by many threads.
 */
public final class HostProcess {
    private static final Logger LOGGER = System.getLogger(HostProcess.class.getName());
    private static final int NETWORK_THREADS = 2;
    private static final Duration DRAIN_POLL_PERIOD = Duration.ofMillis(20);
    /** How long refusals may take to be written at the end of a stop. */
    private static final Duration TIME_TO_REFUSE = Duration.ofMillis(500);

    private final Settings settings;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(NETWORK_THREADS));
    private final EventLoopGroup group = new NioEventLoopGroup(NETWORK_THREADS);
    private final Workers workers;
    private final PeerNetwork network;
    private final PeerServer peers;
    private final HolderService holders;
    private final Optional<ControlNode> control;
    private final ConfigurationFollower follower;
    private final Heartbeats heartbeats;
    private final Optional<PlatformWatcher> platform;
    private final ServiceDirectory directory;
    private final QueryRunner queries;
    private final OnceOnlyRunner operations;
    private final EntryServer entry;
    private final PeerRouter peerRouter;
    private final PeerTraffic traffic = new PeerTraffic();
    private final ControlClient client;
    private final HostMetrics metrics = new HostMetrics();
    private final MonotonicClock clock = MonotonicClock.system();
    private final MembershipTable membership = new MembershipTable();
    private final StopAdmission stopAdmission = new StopAdmission(kind -> true, clock);
    private volatile StoppingState stopping = StoppingState.RUNNING;

    /** Creates a process that serves nothing until {@link #start} is called. */
    public HostProcess(Settings settings, LinkPolicy links) {
        InstantSource wallClock = InstantSource.system();
        RandomGenerator random = new ThreadRandom();
        long incarnation = wallClock.millis();
        this.settings = settings;
        this.workers = new Workers(settings.host(), settings.workers());
        this.network = new PeerNetwork(settings.host(), settings.hosts(), group, links, traffic);
        this.directory = new ServiceDirectory(settings.zone(), settings::hostsInZone);
        UpstreamStatusRegistry statusRegistry = new UpstreamStatusRegistry(settings.host(), directory);
        UpstreamHarm harm = new UpstreamHarm(clock, wallClock);
        this.holders = new HolderService(
                settings.host(),
                directory,
                (upstream, connections) -> new HttpUpstreamProtocol(vertx, upstream, connections),
                workers,
                clock,
                random,
                statusRegistry,
                harm);
        this.control = controlNode(settings, network, clock, wallClock, random);
        this.client = new ControlClient(settings.host(), settings.voters(), control, network, clock);
        this.heartbeats = new Heartbeats(
                settings.host(),
                settings.zone(),
                incarnation,
                network,
                membership,
                directory,
                statusRegistry,
                harm,
                workers,
                clock,
                this::isLeaving);
        this.follower = new ConfigurationFollower(
                settings,
                incarnation,
                client,
                network,
                directory,
                workers,
                clock,
                metrics,
                this::isLeaving,
                this::onConfigurationChange);
        this.platform = platformList(vertx, settings.platform())
                .map(list -> new PlatformWatcher(list, directory, workers, metrics));
        RequestIds ids = new RequestIds(settings.host(), incarnation);
        LeafRouter router = new LeafRouter(settings.host(), directory, holders, membership, network, workers, clock);
        this.queries = new QueryRunner(
                directory, router, workers, clock, random, metrics, ids, stopAdmission, settings.maxQueries());
        this.operations = new OnceOnlyRunner(
                directory, router, client, workers, clock, wallClock, random, metrics, ids, stopAdmission);
        OperatorApi operators = new OperatorApi(
                settings, directory, client, wallClock, metrics, follower::timeSinceConfirmation, this::stopping);
        this.entry = new EntryServer(
                vertx,
                settings.callerAddress(),
                queries,
                operations,
                operators,
                metrics,
                clock,
                wallClock,
                this::stopping,
                follower::isReady);
        this.peerRouter =
                new PeerRouter(workers, clock, holders, heartbeats, membership, control, follower, stopAdmission);
        this.peers = new PeerServer(settings.peerAddress(), peerRouter, group, links, traffic);
        addGauges();
    }

    /**
     * Starts all components.
     *
     * @throws IOException if the files of the control role cannot be read or are invalid
     * @throws InterruptedException if the thread is interrupted while starting
     */
    public void start() throws IOException, InterruptedException {
        if (control.isPresent()) {
            control.get().start();
        }
        peers.start();
        heartbeats.start();
        follower.start();
        platform.ifPresent(PlatformWatcher::start);
        entry.start();
        LOGGER.log(
                Logger.Level.INFO,
                "{0} listens for callers at {1} and for hosts at {2}",
                settings.host(),
                settings.callerAddress(),
                settings.peerAddress());
    }

    /**
     * Stops gracefully: announces that the host is leaving, serves until the load balancer has noticed, then refuses
     * new work and waits until everything in flight has been answered in full, and stops all components. Meanwhile it
     * accepts only requests that will be answered within the limit. What has no answer at the limit is refused.
     *
     * @param lag how long the load balancer may continue to send requests
     * @param limit the maximum time to wait for requests in flight after that
     */
    public void stop(Duration lag, Duration limit) throws InterruptedException {
        long startedNanos = clock.nowNanos();
        stopAdmission.beginStop(StopWindow.closingAt(startedNanos + lag.toNanos() + limit.toNanos()));
        stopping = StoppingState.LEAVING;
        LOGGER.log(Logger.Level.INFO, "{0} is leaving", settings.host());
        entry.beginStop();
        heartbeats.scheduleSend();
        Thread.sleep(lag.toMillis());
        stopping = StoppingState.FINISHING;
        peerRouter.refuseCalls();
        long deadlineNanos = clock.nowNanos() + limit.toNanos();
        drain(deadlineNanos, () -> isWorkDone() && entry.inFlight() == 0);
        entry.stopListening();
        // Connections that were accepted last may carry requests, which are refused like the others.
        drain(deadlineNanos, () -> isWorkDone() && entry.connectionCount() == 0);
        LOGGER.log(
                Logger.Level.INFO,
                "{0} stops with {1} requests and {2} calls of other hosts in flight, {3} callers not answered in full",
                settings.host(),
                queries.inFlight() + operations.inFlight(),
                peerRouter.inFlight(),
                entry.inFlight());
        if (entry.inFlight() + peerRouter.inFlight() > 0) {
            peerRouter.endCalls();
            entry.refuseInProgress();
            drain(clock.nowNanos() + TIME_TO_REFUSE.toNanos(), () -> entry.inFlight() == 0);
        }
        kill();
    }

    /** Closes idle connections of callers until a condition is met or the deadline has passed. */
    private void drain(long deadlineNanos, BooleanSupplier done) throws InterruptedException {
        entry.closeIdle();
        while (!done.getAsBoolean() && clock.nowNanos() - deadlineNanos < 0) {
            Thread.sleep(DRAIN_POLL_PERIOD.toMillis());
            entry.closeIdle();
        }
    }

    /** Stops all components immediately, without waiting for requests in flight. */
    public void kill() {
        entry.stop();
        platform.ifPresent(PlatformWatcher::stop);
        // Before the connections of other hosts, so that they learn which of their proposals are undecided.
        control.ifPresent(ControlNode::stop);
        peers.stop();
        holders.stop();
        network.stop();
        workers.stop();
        BoundedStop.await(vertx.close(), "the HTTP clients");
        BoundedStop.await(group.shutdownGracefully(0, 1, TimeUnit.SECONDS), "the connections to other hosts");
    }

    /** Returns the revision of the configuration in force. */
    public long revision() {
        return directory.configuration().revision();
    }

    /** Returns the metrics of this host. */
    public HostMetrics metrics() {
        return metrics;
    }

    /** Returns the counters of traffic to other hosts. */
    public PeerTraffic traffic() {
        return traffic;
    }

    /** Returns the client of the control hosts. */
    public ControlClient controlClient() {
        return client;
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return entry.port();
    }

    /** Returns the progress of a graceful stop. */
    public StoppingState stopping() {
        return stopping;
    }

    private void onConfigurationChange() {
        holders.configure();
        heartbeats.scheduleSend();
    }

    private boolean isLeaving() {
        return stopping != StoppingState.RUNNING;
    }

    private boolean isWorkDone() {
        return queries.inFlight() + operations.inFlight() + holders.inFlight() + peerRouter.inFlight() == 0;
    }

    private void addGauges() {
        metrics.gauge("queries.in-flight", queries::inFlight);
        metrics.gauge("once-only.in-flight", operations::inFlight);
        metrics.gauge("holder.in-flight", holders::inFlight);
        metrics.gauge("callers.in-flight", entry::inFlight);
        metrics.gauge("peers.in-flight", peerRouter::inFlight);
        metrics.gauge("holder.upstreams", holders::size);
        metrics.gauge("peer.leaf-bytes-sent", traffic::leafBytes);
        metrics.gauge("peer.leaf-messages-sent", traffic::leafMessages);
        metrics.gauge("peer.control-bytes-sent", traffic::controlBytes);
        metrics.gauge("peer.control-messages-sent", traffic::controlMessages);
        metrics.gauge("configuration.revision", () -> directory.configuration().revision());
        metrics.gauge(
                "configuration.unconfirmed-ms",
                () -> follower.timeSinceConfirmation().toMillis());
    }

    private static Optional<PlatformList> platformList(Vertx vertx, PlatformSource source) {
        return source.file()
                .<PlatformList>map(file -> new FilePlatformList(vertx, file))
                .or(() -> source.url().map(url -> new HttpPlatformList(vertx, url)));
    }

    private static Optional<ControlNode> controlNode(
            Settings settings,
            PeerNetwork network,
            MonotonicClock clock,
            InstantSource wallClock,
            RandomGenerator random) {
        if (!settings.hasRole(Role.CONTROL)) {
            return Optional.empty();
        }
        return Optional.of(new ControlNode(
                settings.host(),
                settings.voters(),
                (settings.voters().size() - 1) / 2,
                RaftTimings.DEFAULT,
                new FileLogStore(settings.controlFolder()),
                network,
                clock,
                wallClock,
                random));
    }

    /** Delegates to the random generator of the current thread. */
    private static final class ThreadRandom implements RandomGenerator {
        @Override
        public long nextLong() {
            return ThreadLocalRandom.current().nextLong();
        }
    }
}
