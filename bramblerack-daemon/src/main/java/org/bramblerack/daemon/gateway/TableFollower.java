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
 * Follows the agreed tables: asks one control host for changes, again and again, and another if it does not answer or
 * is not in touch with a leader.
 *
 * <p>Invariants: a table older than the one known is never applied. The first table comes from a control host that is
 * in touch with a leader. Owned by the event loop.
 */
public final class TableFollower {
    private static final Logger LOGGER = System.getLogger(TableFollower.class.getName());
    private static final EventLog EVENTS = EventLog.of(TableFollower.class);
    /** A control host holds a request back for at most 700 ms; more is a host or a link that does not answer. */
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(1_100);

    private static final long RETRY_DELAY_MILLIS = 60;
    /**
     * The least time between two requests that are answered with news. Changes come in series, as when a fleet or the
     * leafs of a service start: each alone is a message to every host, a look at all tables and a line in the log. One
     * that comes after a pause finds a request that waits for it, and is told at once.
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
     * Creates a follower that does nothing yet.
     *
     * @param seeds the peer addresses of the control hosts that are known beforehand, at least one
     * @param hostRecord tells what the tables should say of this host; nothing as long as it takes no part
     * @param random draws the control host that is asked first: a fleet that starts together would ask the same one
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

    /** Begins to follow. */
    public void start() {
        loop.execute(this::pull);
    }

    /** Replaces the control hosts that are known beforehand. */
    public void setSeeds(ImmutableList<String> newSeeds) {
        loop.execute(() -> seeds = newSeeds);
    }

    /** Stops following. */
    public void stop() {
        loop.execute(() -> stopped = true);
    }

    /** Returns true once the tables came from a control host that is in touch with a leader. */
    public boolean isSynchronized() {
        return synchronizedOnce;
    }

    /** Returns true while the control host that is followed is in touch with a leader, by its last answer. */
    public boolean isCurrent() {
        return synchronizedOnce && !lost;
    }

    /** Returns the control host that is asked at present. */
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

    /** Tells a control host at once that this host takes part now: the request under way may be held for a moment. */
    public void announce() {
        loop.execute(() -> network.request(
                        currentControlHost, Envelope.newBuilder().setTablePull(pullMessage()), PULL_TIMEOUT)
                .subscribe()
                .with(
                        reply -> LOGGER.log(Logger.Level.DEBUG, "this host was announced"),
                        failure -> LOGGER.log(
                                Logger.Level.DEBUG,
                                "the announcement failed, the next request makes it again: {0}",
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
            switchControlHost(currentControlHost, "it hears no leader");
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

    /** Asks for the next change: at once if the request before waited for this one, otherwise a little later. */
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

    /** Goes to a control host that is nearer, once the tables name one. */
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

    /** The control hosts of the tables, the nearest first, then the seeds. */
    private ImmutableList<String> candidates() {
        return ImmutableList.<String>builder().addAll(view.controlAddresses()).addAll(seeds).build().stream()
                .distinct()
                .collect(ImmutableList.toImmutableList());
    }
}
