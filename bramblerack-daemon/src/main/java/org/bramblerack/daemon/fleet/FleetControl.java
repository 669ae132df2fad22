package org.bramblerack.daemon.fleet;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import java.lang.System.Logger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.SharedReads;
import org.bramblerack.process.members.MembershipMonitor;
import org.bramblerack.process.members.ReplicatedTables;
import org.bramblerack.process.members.ShardAccessPolicy;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ControlRead;
import org.bramblerack.wire.Envelope;
import org.bramblerack.wire.ForgetMembers;
import org.bramblerack.wire.HarmReport;
import org.bramblerack.wire.HeardMembers;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.PutConfiguration;
import org.bramblerack.wire.SetShardAccess;
import org.bramblerack.wire.SetZoneDrain;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TablePull;
import org.bramblerack.wire.TakeTrial;
import org.bramblerack.wire.VersionQueryResult;

/**
 * What a control host does for leafs, operators and entry hosts.
 *
 * <p>A report that says nothing new is acknowledged by this host alone, as long as it hears a leader; everything else
 * is acknowledged only once it is agreed. The last-heard times of members are this host's own and are shared with the
 * leader, which forgets members that nobody hears. Safe for use by many threads.
 */
public final class FleetControl {
    private static final Logger LOGGER = System.getLogger(FleetControl.class.getName());
    private static final EventLog EVENTS = EventLog.of(FleetControl.class);
    /** A leaf waits a second for its acknowledgement, so a decision must come sooner. */
    private static final Duration REPORT_WAIT = Duration.ofMillis(850);
    /** An operator moves on after a second without an answer. */
    private static final Duration CHANGE_WAIT = Duration.ofMillis(900);

    private static final Duration READ_WAIT = Duration.ofMillis(800);
    /** A caller waits for the answer, so it comes within a few round trips or not at all. */
    private static final Duration VERSION_WAIT = Duration.ofMillis(450);
    /** More than the entry hosts that follow one control host, each of which asks once at a time. */
    private static final int MAX_VERSION_QUERIES = 10_000;

    private final ControlNode node;
    private final ControlClient client;
    private final PeerNetwork network;
    private final MetricRegistry metrics;
    private final InstantSource wallClock;
    private final MembershipMonitor watch = new MembershipMonitor();
    private final ShardAccessPolicy shardAccess = new ShardAccessPolicy();
    private volatile ImmutableList<String> knownControlHosts = ImmutableList.of();
    private volatile ImmutableSet<String> hostsElsewhere = ImmutableSet.of();
    private final SharedReads<Consumer<VersionQueryResult>> versionReads = new SharedReads<>(MAX_VERSION_QUERIES);
    private boolean wasLeader;

    /** Creates the service; nothing happens before it is called. */
    public FleetControl(
            ControlNode node,
            ControlClient client,
            PeerNetwork network,
            MetricRegistry metrics,
            InstantSource wallClock) {
        this.node = node;
        this.client = client;
        this.network = network;
        this.metrics = metrics;
        this.wallClock = wallClock;
    }

    /** Takes the report of a leaf. */
    public Uni<FleetOutcome> reportLeaf(LeafRecord report) {
        return node.withTables((tables, inTouch, nowNanos) -> {
                    synchronized (watch) {
                        watch.recordLeafContact(report.getId(), nowNanos);
                    }
                    if (!inTouch) {
                        return Optional.of(FleetOutcome.NOT_TAKEN);
                    }
                    return tables.wouldChange(report)
                            ? Optional.<FleetOutcome>empty()
                            : Optional.of(FleetOutcome.ACKNOWLEDGED);
                })
                .chain(known -> known.isPresent()
                        ? Uni.createFrom().item(known.get())
                        : propose(Command.newBuilder().setReportLeaf(report).build(), REPORT_WAIT)
                                .invoke(outcome -> sayReported(report, outcome)))
                .onFailure()
                .recoverWithItem(FleetControl::stopped)
                .invoke(outcome -> count("fleet_leaf_report_", outcome));
    }

    /**
     * Writes a line about what a leaf reports anew; the log of agreement takes few enough that none need be left out.
     */
    private static void sayReported(LeafRecord report, FleetOutcome outcome) {
        EVENTS.info("leaf_reported")
                .with("leaf", report.getId())
                .with("service", report.getService())
                .with("phase", report.getPhase().name())
                .with("sequence", report.getSequence())
                .with("outcome", outcome.name())
                .write();
    }

    /** Takes a whole configuration that was checked before. */
    public Uni<FleetOutcome> putConfiguration(long version, ByteString compressedDocument) {
        Command command = Command.newBuilder()
                .setPutConfiguration(
                        PutConfiguration.newBuilder().setVersion(version).setDocument(compressedDocument))
                .build();
        return propose(command, CHANGE_WAIT).invoke(outcome -> {
            count("fleet_configuration_", outcome);
            EVENTS.info("configuration_put")
                    .with("configuration", version)
                    .with("outcome", outcome.name())
                    .write();
        });
    }

    /** Takes what a host saw of requests that end leafs, and tells whether it was agreed on. */
    public Uni<Boolean> reportHarm(HarmReport report) {
        return node.withTables(
                        (tables, inTouch, nowNanos) -> inTouch && !tables.harm().wouldChange(report))
                .chain(isKnown -> isKnown
                        ? Uni.createFrom().item(FleetOutcome.ACKNOWLEDGED)
                        : propose(
                                Command.newBuilder()
                                        .setReportHarm(report.toBuilder().setAtMillis(wallClock.millis()))
                                        .build(),
                                REPORT_WAIT))
                .onFailure()
                .recoverWithItem(FleetControl::stopped)
                .invoke(outcome -> count("fleet_harm_report_", outcome))
                .map(outcome -> outcome == FleetOutcome.ACKNOWLEDGED);
    }

    /** Tells whether an arrival of a request on trial may be sent to leafs, if that can be agreed on. */
    public Uni<Optional<Boolean>> takeTrial(TakeTrial trial) {
        Command command = Command.newBuilder()
                .setTakeTrial(trial.toBuilder().setAtMillis(wallClock.millis()))
                .build();
        return client.propose(command, REPORT_WAIT)
                .map(result -> result instanceof ProposalResult.Applied applied
                        ? Optional.of(applied.result().getKind() == CommandResult.Kind.ACCEPTED)
                        : Optional.<Boolean>empty())
                .onFailure()
                .recoverWithItem(Optional.<Boolean>empty())
                .invoke(granted -> metrics.counter("fleet_trial_" + trialOutcome(trial, granted))
                        .inc());
    }

    private static String trialOutcome(TakeTrial trial, Optional<Boolean> granted) {
        if (granted.isEmpty()) {
            return "undecided";
        }
        if (trial.getGivenBack()) {
            return "given_back";
        }
        return granted.get() ? "granted" : "refused";
    }

    /** Has the leafs of an availability zone get no work, or takes that back; either may be said again. */
    public Uni<FleetOutcome> drainZone(String zone, boolean drained) {
        Command command = Command.newBuilder()
                .setSetZoneDrain(SetZoneDrain.newBuilder().setZone(zone).setDrained(drained))
                .build();
        return propose(command, CHANGE_WAIT).invoke(outcome -> {
            count("fleet_zone_drain_", outcome);
            EVENTS.info("zone_drain_set")
                    .with("zone", zone)
                    .with("drained", drained)
                    .with("outcome", outcome.name())
                    .write();
        });
    }

    /** Returns the compressed document of the newest configuration, if it is certain that it is the newest. */
    public Uni<Optional<ByteString>> newestConfiguration() {
        return client.read(
                        ControlRead.newBuilder()
                                .setKind(ControlRead.Kind.ROUTING)
                                .build(),
                        READ_WAIT)
                .map(result -> result.getCurrent() ? Optional.of(result.getRoutingDocument()) : Optional.empty());
    }

    /** Returns the version of the newest configuration, as confirmed from now on; hosts that ask meanwhile share it. */
    public Uni<VersionQueryResult> newestVersion() {
        return Uni.createFrom().emitter(emitter -> {
            boolean waits;
            synchronized (versionReads) {
                waits = versionReads.await(emitter::complete);
            }
            if (waits) {
                readVersionIfAsked();
            } else {
                emitter.complete(VersionQueryResult.getDefaultInstance());
            }
        });
    }

    private void readVersionIfAsked() {
        synchronized (versionReads) {
            if (!versionReads.begin()) {
                return;
            }
        }
        client.read(
                        ControlRead.newBuilder()
                                .setKind(ControlRead.Kind.ROUTING_VERSION)
                                .build(),
                        VERSION_WAIT)
                .subscribe()
                .with(result -> versionRead(result.getCurrent(), result.getRoutingVersion()), failure -> {
                    LOGGER.log(Logger.Level.DEBUG, "the newest version was not read: {0}", failure.getMessage());
                    versionRead(false, 0);
                });
    }

    private void versionRead(boolean current, long version) {
        ImmutableList<Consumer<VersionQueryResult>> answered;
        synchronized (versionReads) {
            answered = versionReads.takeWaiters();
            versionReads.end();
        }
        VersionQueryResult result = VersionQueryResult.newBuilder()
                .setCurrent(current)
                .setVersion(version)
                .build();
        answered.forEach(taker -> taker.accept(result));
        readVersionIfAsked();
    }

    /** Answers a host that follows the tables; if it takes part already, notes that it lives. */
    public Uni<TableDelta> pull(TablePull pull) {
        if (!pull.hasSelf()) {
            return node.pullTables(pull);
        }
        HostRecord host = pull.getSelf();
        return node.withTables((tables, inTouch, nowNanos) -> {
                    synchronized (watch) {
                        watch.recordHostContact(host.getName(), pull.getQueriesAMinute(), nowNanos);
                    }
                    return inTouch && tables.wouldChange(host);
                })
                .invoke(isNews -> {
                    if (isNews) {
                        announce(host);
                    }
                })
                .chain(unused -> node.pullTables(pull));
    }

    /** Adds a host to the tables, or changes what they say of it. */
    public void announce(HostRecord host) {
        propose(Command.newBuilder().setReportHost(host).build(), REPORT_WAIT)
                .subscribe()
                .with(
                        outcome ->
                                LOGGER.log(Logger.Level.DEBUG, "the report of host {0}: {1}", host.getName(), outcome),
                        failure -> LOGGER.log(Logger.Level.WARNING, "the report of a host failed", failure));
    }

    /** Takes what another control host has heard of. */
    public void takeHeard(HeardMembers report, long nowNanos) {
        synchronized (watch) {
            watch.merge(report, nowNanos);
        }
    }

    /**
     * Tells the leader what was heard of; as the leader, forgets who is silent. Call it every second.
     *
     * @param own what the tables should say of this host
     */
    public void shareHeard(HostRecord own) {
        node.withTables((tables, inTouch, nowNanos) -> {
                    synchronized (watch) {
                        watch.recordHostContact(own.getName(), 0, nowNanos);
                        knownControlHosts = tables.presentHosts().stream()
                                .filter(host -> !host.getControlAddress().isEmpty())
                                .map(HostRecord::getPeerAddress)
                                .collect(ImmutableList.toImmutableList());
                        hostsElsewhere = tables.presentHosts().stream()
                                .filter(host -> !host.getRegion().equals(own.getRegion()))
                                .map(HostRecord::getPeerAddress)
                                .collect(ImmutableSet.toImmutableSet());
                        if (inTouch && tables.wouldChange(own)) {
                            announce(own);
                        }
                        boolean leads = node.isLeader();
                        if (leads && !wasLeader) {
                            watch.reset(tables, nowNanos);
                        }
                        wasLeader = leads;
                        HeardMembers report = watch.takeReport();
                        if (!leads) {
                            node.leader().ifPresent(leader -> send(leader, report));
                            return ForgetMembers.getDefaultInstance();
                        }
                        reviewShardAccess(tables, nowNanos);
                        return watch.silentMembers(tables, nowNanos);
                    }
                })
                .subscribe()
                .with(this::forget, failure -> LOGGER.log(Logger.Level.DEBUG, "the control role has stopped"));
    }

    /** As the leader, has the way to the leafs of shards changed if the rate of queries asks for it. */
    private void reviewShardAccess(ReplicatedTables tables, long nowNanos) {
        int entryHosts = (int)
                tables.presentHosts().stream().filter(HostRecord::getEntry).count();
        OptionalInt queriesAMinute = watch.queriesPerMinute(tables);
        shardAccess
                .decide(tables.throughHolders(), entryHosts, queriesAMinute, nowNanos)
                .ifPresent(throughHolders -> {
                    EVENTS.info("shard_access_changes")
                            .with("throughHolders", throughHolders)
                            .with("queriesAMinute", queriesAMinute.orElse(0))
                            .with("entryHosts", entryHosts)
                            .write();
                    propose(
                                    Command.newBuilder()
                                            .setSetShardAccess(
                                                    SetShardAccess.newBuilder().setThroughHolders(throughHolders))
                                            .build(),
                                    REPORT_WAIT)
                            .subscribe()
                            .with(
                                    outcome -> {},
                                    failure -> LOGGER.log(
                                            Logger.Level.WARNING, "a change of the way to shards failed", failure));
                });
    }

    /** Returns the leaf as the tables of this host have it. */
    public Uni<Optional<LeafRecord>> findLeaf(String id) {
        return node.withTables((tables, inTouch, nowNanos) -> tables.leaf(id));
    }

    /** Returns the control host nearest to a zone: in it, else in its region, if the tables have one. */
    public Uni<Optional<HostRecord>> nearestControl(String zone, String region) {
        return node.withTables((tables, inTouch, nowNanos) -> {
            Optional<HostRecord> inRegion = Optional.empty();
            for (HostRecord host : tables.presentHosts()) {
                boolean serves = !host.getControlAddress().isEmpty() && host.getPhase() == HostRecord.Phase.READY;
                if (serves && host.getZone().equals(zone)) {
                    return Optional.of(host);
                }
                if (serves && host.getRegion().equals(region)) {
                    inRegion = Optional.of(host);
                }
            }
            return inRegion;
        });
    }

    /** Returns the peer addresses of the other control hosts in the tables, as of the last second. */
    public ImmutableList<String> knownControlHosts() {
        return knownControlHosts;
    }

    /** Returns true if the host at a peer address was in another region, as of the last second. */
    public boolean isElsewhere(String peerAddress) {
        return hostsElsewhere.contains(peerAddress);
    }

    private void send(String leader, HeardMembers report) {
        if (report.getLeafIdsCount() + report.getHostNamesCount() > 0) {
            network.send(leader, Envelope.newBuilder().setHeardMembers(report));
        }
    }

    private void forget(ForgetMembers silent) {
        if (silent.getLeafIdsCount() + silent.getHostsCount() == 0) {
            return;
        }
        EVENTS.info("members_forgotten")
                .with("leafs", String.join(" ", silent.getLeafIdsList()))
                .with("hosts", silent.getHostsCount())
                .write();
        propose(Command.newBuilder().setForgetMembers(silent).build(), REPORT_WAIT)
                .subscribe()
                .with(outcome -> {}, failure -> LOGGER.log(Logger.Level.WARNING, "forgetting failed", failure));
    }

    private Uni<FleetOutcome> propose(Command command, Duration wait) {
        return client.propose(command, wait).map(result -> {
            if (result instanceof ProposalResult.Applied) {
                return FleetOutcome.ACKNOWLEDGED;
            }
            return result instanceof ProposalResult.NotTaken ? FleetOutcome.NOT_TAKEN : FleetOutcome.UNDECIDED;
        });
    }

    private void count(String prefix, FleetOutcome outcome) {
        metrics.counter(prefix + outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    private static FleetOutcome stopped(Throwable failure) {
        LOGGER.log(Logger.Level.DEBUG, "a report came while the control role stops: {0}", failure.getMessage());
        return FleetOutcome.NOT_TAKEN;
    }
}
