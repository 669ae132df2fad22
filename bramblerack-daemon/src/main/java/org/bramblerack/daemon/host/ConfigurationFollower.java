package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.vavr.control.Either;
import java.lang.System.Logger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.entry.HostMetrics;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.daemon.peer.Workers;
import org.bramblerack.daemon.settings.HostEntry;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.process.MonotonicClock;
import org.bramblerack.process.directory.ServiceDirectory;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.version.Configuration;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.DeclarationReader;
import org.bramblerack.wire.ConfigurationDelta;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.PartnerDeclaration;

/**
 * Keeps the replicated configuration in force on this host.
 *
 * <p>The host periodically pulls the changes after its own revision from the control hosts. Invariants: the revision
 * never decreases within an incarnation. The first configuration of an incarnation is one that the leader confirmed or,
 * if no control host can be reached, the newest one in force on the hosts of this zone, provided it is not older than
 * any revision that this host has reported to them before.
 *
 * <p>Safe for use by many threads. Lock order: this object's lock, which guards changes, is acquired before the
 * directory's.
 */
public final class ConfigurationFollower {
    private static final Logger LOGGER = System.getLogger(ConfigurationFollower.class.getName());
    private static final Duration PULL_PERIOD = Duration.ofMillis(300);
    private static final Duration PULL_TIMEOUT = Duration.ofMillis(600);
    private static final Duration PEER_PULL_DELAY = Duration.ofSeconds(3);

    private final Settings settings;
    private final long incarnation;
    private final ControlClient control;
    private final PeerNetwork network;
    private final ServiceDirectory directory;
    private final Workers workers;
    private final MonotonicClock clock;
    private final HostMetrics metrics;
    private final Supplier<Boolean> leaving;
    private final Runnable onChange;
    private final Map<String, PartnerDeclaration> declarationTexts = new TreeMap<>();
    private final Map<String, ConfigurationDelta> peerReplies = new HashMap<>();
    private final long startedNanos;
    private volatile long confirmedNanos;
    private volatile boolean everConfirmed;

    /** Creates a follower that pulls nothing until {@link #start} is called. */
    public ConfigurationFollower(
            Settings settings,
            long incarnation,
            ControlClient control,
            PeerNetwork network,
            ServiceDirectory directory,
            Workers workers,
            MonotonicClock clock,
            HostMetrics metrics,
            Supplier<Boolean> leaving,
            Runnable onChange) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.control = control;
        this.network = network;
        this.directory = directory;
        this.workers = workers;
        this.clock = clock;
        this.metrics = metrics;
        this.leaving = leaving;
        this.onChange = onChange;
        this.startedNanos = clock.nowNanos();
        this.confirmedNanos = startedNanos;
    }

    /** Starts the periodic pulls. */
    public void start() {
        pullFromControl();
    }

    /** Returns the time since a control host last confirmed the configuration. */
    public Duration timeSinceConfirmation() {
        return Duration.ofNanos(clock.nowNanos() - confirmedNanos);
    }

    /** Returns true once a configuration is in force or the leader has confirmed that none exists. */
    public boolean isReady() {
        return everConfirmed || directory.configuration().revision() > 0;
    }

    /** Answers a pull of another host that cannot reach a control host. */
    public synchronized ConfigurationDelta handlePeerPull(ConfigurationPull pull, long lastSeenRevision) {
        ImmutableList<PartnerDeclaration> changed = declarationTexts.values().stream()
                .filter(text -> text.getRevision() > pull.getKnownRevision())
                .collect(ImmutableList.toImmutableList());
        return ConfigurationDelta.newBuilder()
                .setRevision(directory.configuration().revision())
                .addAllDeclarations(changed)
                .setHeardRevision(lastSeenRevision)
                .build();
    }

    private void pullFromControl() {
        control.pull(pullRequest(), PULL_TIMEOUT)
                .subscribe()
                .with(
                        delta -> workers.run(() -> {
                            applyControlDelta(delta);
                            schedulePull();
                        }),
                        failure -> workers.run(() -> {
                            pullFromPeersIfNeeded();
                            schedulePull();
                        }));
    }

    private void schedulePull() {
        workers.runAfter(PULL_PERIOD.toNanos(), this::pullFromControl);
    }

    private ConfigurationPull pullRequest() {
        return ConfigurationPull.newBuilder()
                .setHost(settings.host())
                .setZone(settings.zone())
                .setIncarnation(incarnation)
                .setLeaving(leaving.get())
                .setKnownRevision(directory.configuration().revision())
                .build();
    }

    private void applyControlDelta(ConfigurationDelta delta) {
        boolean hasConfiguration = directory.configuration().revision() > 0;
        if (delta.getConfirmed()) {
            putInForce(delta);
            if (directory.configuration().revision() >= delta.getRevision()) {
                everConfirmed = true;
                confirmedNanos = clock.nowNanos();
            }
        } else if (hasConfiguration) {
            putInForce(delta);
        } else {
            pullFromPeersIfNeeded();
        }
    }

    private void pullFromPeersIfNeeded() {
        metrics.count("configuration.unconfirmed-pull");
        boolean hasConfiguration = directory.configuration().revision() > 0;
        if (hasConfiguration || clock.nowNanos() - startedNanos < PEER_PULL_DELAY.toNanos()) {
            return;
        }
        for (HostEntry host : settings.hosts()) {
            if (host.zone().equals(settings.zone()) && !host.name().equals(settings.host())) {
                network.request(host.name(), Envelope.newBuilder().setConfigurationPull(pullRequest()), PULL_TIMEOUT)
                        .map(Envelope::getConfigurationDelta)
                        .subscribe()
                        .with(
                                delta -> workers.run(() -> applyPeerDelta(host.name(), delta)),
                                failure -> workers.run(() -> metrics.count("configuration.peer-silent")));
            }
        }
    }

    private synchronized void applyPeerDelta(String host, ConfigurationDelta delta) {
        if (directory.configuration().revision() > 0) {
            return;
        }
        peerReplies.put(host, delta);
        long highestServedRevision = 0;
        ConfigurationDelta newest = delta;
        for (ConfigurationDelta reply : peerReplies.values()) {
            highestServedRevision = Math.max(highestServedRevision, reply.getHeardRevision());
            newest = reply.getRevision() > newest.getRevision() ? reply : newest;
        }
        if (newest.getRevision() > 0 && newest.getRevision() >= highestServedRevision) {
            LOGGER.log(
                    Logger.Level.WARNING,
                    "{0} starts with revision {1} of a host in its zone, unconfirmed by any control host; check that the"
                            + " control hosts are reachable",
                    settings.host(),
                    newest.getRevision());
            putInForce(newest);
        }
    }

    private void putInForce(ConfigurationDelta delta) {
        synchronized (this) {
            if (delta.getRevision() <= directory.configuration().revision()) {
                return;
            }
            Map<String, PartnerDeclaration> changed = new TreeMap<>(declarationTexts);
            delta.getDeclarationsList().forEach(text -> changed.put(text.getPartner(), text));
            ImmutableMap.Builder<String, Declaration> declarations = ImmutableMap.builder();
            for (PartnerDeclaration text : changed.values()) {
                Either<ImmutableList<ValidationError>, Declaration> read = DeclarationReader.read(text.getText());
                if (read.isLeft()) {
                    reportUnreadable(text, read.getLeft());
                    return;
                }
                declarations.put(text.getPartner(), read.get());
            }
            Configuration configuration = new Configuration(delta.getRevision(), declarations.buildOrThrow());
            if (!directory.configure(configuration, clock.nowNanos())) {
                return;
            }
            declarationTexts.putAll(changed);
        }
        LOGGER.log(
                Logger.Level.INFO, "{0} put configuration revision {1} in force", settings.host(), delta.getRevision());
        onChange.run();
    }

    private void reportUnreadable(PartnerDeclaration text, ImmutableList<ValidationError> errors) {
        metrics.count("configuration.unreadable");
        LOGGER.log(
                Logger.Level.ERROR,
                "{0} cannot read the replicated declaration of {1}: {2}; run the program version that accepted it",
                settings.host(),
                text.getPartner(),
                errors.get(0));
    }
}
