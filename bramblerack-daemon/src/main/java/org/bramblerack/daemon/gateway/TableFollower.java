package org.bramblerack.daemon.gateway;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.fleet.Compression;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.version.routing.RoutingConfiguration;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TablePull;

/**
 * Follows the replicated tables: pulls changes from one control host, and switches to another if it does not answer or
 * is not connected to a leader.
 *
 * <p>Invariants: a table older than the known one is never applied. The first table comes from a control host that is
 * connected to a leader. Owned by the event loop.
 */
public final class TableFollower {
    private static final Logger LOGGER = System.getLogger(TableFollower.class.getName());
    private static final EventLog EVENTS = EventLog.of(TableFollower.class);
    /** A control host defers its answer by at most 700 ms. */
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(1_100);

    private static final long RETRY_DELAY_MILLIS = 60;
    /**
     * The minimum time between two pulls that are answered with changes. Changes arrive in series, for example when a
     * fleet starts, and each answer costs a message, an update of all tables and a log line. A change after a pause is
     * still received at once, since a deferred pull is waiting for it.
     */
    private static final Duration MIN_PULL_INTERVAL = Duration.ofMillis(100);

    private final FleetView view;
    private final ConfigurationCodec codec;
    private final PeerNetwork network;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private ImmutableList<String> seeds;
    private final Supplier<Optional<HostRecord>> hostRecord;
    private String currentControlHost;
    private long pulledNanos;
    private int failures;
    private boolean synchronizedOnce;
    private boolean lost;
    private boolean stopped;

    /**
     * Creates a follower without starting it.
     *
     * @param seeds the peer addresses of the initially known control hosts, at least one
     * @param hostRecord returns this host's record for the tables; empty while it must not be listed
     * @param random chooses the first control host, so that a fleet that starts together does not overload one of them
     */
    public TableFollower(
            FleetView view,
            ConfigurationCodec codec,
            PeerNetwork network,
            EventLoop loop,
            MonotonicClock clock,
            ImmutableList<String> seeds,
            Supplier<Optional<HostRecord>> hostRecord,
            RandomGenerator random) {
        this.view = view;
        this.codec = codec;
        this.network = network;
        this.loop = loop;
        this.clock = clock;
        this.seeds = seeds;
        this.hostRecord = hostRecord;
        this.currentControlHost = seeds.get(random.nextInt(seeds.size()));
    }

    public void start() {
        loop.execute(this::pull);
    }

    /** Replaces the initially known control hosts. */
    public void setSeeds(ImmutableList<String> newSeeds) {
        loop.execute(() -> seeds = newSeeds);
    }

    public void stop() {
        loop.execute(() -> stopped = true);
    }

    /** Returns true once tables were received from a control host that is connected to a leader. */
    public boolean isSynchronized() {
        return synchronizedOnce;
    }

    /** Returns true while the followed control host is connected to a leader, according to its last answer. */
    public boolean isCurrent() {
        return synchronizedOnce && !lost;
    }

    /** Returns the peer address of the control host that is followed at present. */
    String controlHost() {
        return currentControlHost;
    }

    private void pull() {
        if (stopped) {
            return;
        }
        String controlHost = currentControlHost;
        pulledNanos = clock.nowNanos();
        network.request(controlHost, Envelope.newBuilder().setTablePull(pullMessage()), PULL_TIMEOUT)
                .subscribe()
                .with(
                        reply -> loop.execute(() -> handleDelta(reply.getTableDelta())),
                        failure -> loop.execute(
                                () -> switchControlHost(controlHost, String.valueOf(failure.getMessage()))));
    }

    /**
     * Sends this host's current record to the control host at once, since the answer to the pending pull may be
     * deferred.
     */
    public void announce() {
        loop.execute(() -> network.request(
                        currentControlHost, Envelope.newBuilder().setTablePull(pullMessage()), PULL_TIMEOUT)
                .subscribe()
                .with(
                        reply -> LOGGER.log(Logger.Level.DEBUG, "sent the record of this host to control"),
                        failure -> LOGGER.log(
                                Logger.Level.DEBUG,
                                "could not send the record of this host; the next pull sends it again: {0}",
                                failure.getMessage())));
    }

    private TablePull.Builder pullMessage() {
        TablePull.Builder pull =
                TablePull.newBuilder().setKnownRevision(view.revision()).setQueriesAMinute(view.queriesPerMinute());
        hostRecord.get().ifPresent(pull::setSelf);
        return pull;
    }

    private void handleDelta(TableDelta delta) {
        boolean older = delta.getRevision() < view.revision();
        if (older || !delta.getCurrent()) {
            if (!older && synchronizedOnce) {
                apply(delta);
            }
            switchControlHost(currentControlHost, "not connected to a leader, or its tables are older");
            return;
        }
        failures = 0;
        apply(delta);
        if (!synchronizedOnce) {
            synchronizedOnce = true;
            lost = true;
        }
        if (lost) {
            lost = false;
            EVENTS.info("tables_followed")
                    .with("controlHost", currentControlHost)
                    .with("revision", view.revision())
                    .write();
        }
        preferNearest();
        scheduleNextPull();
    }

    /** Pulls the next change: at once if the last pull was deferred, otherwise after the minimum interval. */
    private void scheduleNextPull() {
        long delayNanos = MIN_PULL_INTERVAL.toNanos() - (clock.nowNanos() - pulledNanos);
        if (delayNanos > 0) {
            loop.schedule(this::pull, delayNanos, TimeUnit.NANOSECONDS);
        } else {
            pull();
        }
    }

    private void apply(TableDelta delta) {
        if (delta.getRevision() == view.revision()) {
            return;
        }
        Optional<RoutingConfiguration> newer = Optional.empty();
        if (!delta.getConfiguration().isEmpty()) {
            newer = readConfiguration(delta.getConfiguration());
        }
        long before = view.configuration().version();
        view.apply(delta, newer);
        if (view.configuration().version() != before) {
            EVENTS.info("configuration_in_force")
                    .with("configuration", view.configuration().version())
                    .with("before", before)
                    .with("revision", view.revision())
                    .with("controlHost", currentControlHost)
                    .write();
        }
    }

    private Optional<RoutingConfiguration> readConfiguration(ByteString compressed) {
        Either<String, RoutingConfiguration> read = codec.read(Compression.inflate(compressed));
        if (read.isLeft()) {
            EVENTS.warning("configuration_unreadable")
                    .with("reason", read.getLeft())
                    .write();
            return Optional.empty();
        }
        return Optional.of(read.get());
    }

    /** Switches to the nearest control host if the tables do not list the present one. */
    private void preferNearest() {
        ImmutableList<String> known = view.controlAddresses();
        if (failures == 0 && !known.isEmpty() && !known.contains(currentControlHost)) {
            currentControlHost = known.get(0);
        }
    }

    private void switchControlHost(String failedHost, String reason) {
        failures++;
        ImmutableList<String> candidates = candidates();
        int next = (candidates.indexOf(failedHost) + 1) % candidates.size();
        currentControlHost = candidates.get(next);
        if (!lost && synchronizedOnce) {
            lost = true;
            EVENTS.warning("tables_lost")
                    .with("controlHost", failedHost)
                    .with("next", currentControlHost)
                    .with("reason", reason)
                    .with("revision", view.revision())
                    .write();
        }
        if (failures % candidates.size() == 0) {
            loop.schedule(this::pull, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            pull();
        }
    }

    /** Returns the control hosts of the tables, nearest first, followed by the seeds. */
    private ImmutableList<String> candidates() {
        return ImmutableList.<String>builder().addAll(view.controlAddresses()).addAll(seeds).build().stream()
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }
}
