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
import java.util.function.LongConsumer;
import org.bramblerack.daemon.control.ControlClient;
import org.bramblerack.daemon.control.ControlNode;
import org.bramblerack.daemon.control.ProposalResult;
import org.bramblerack.daemon.event.EventLog;
import org.bramblerack.daemon.peer.PeerNetwork;
import org.bramblerack.process.MonotonicClock;
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
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TablePull;
import org.bramblerack.wire.TakeTrial;
import org.bramblerack.wire.VersionQueryResult;

/**
 * The service of a control host for leaves, operators and entry hosts.
 *
 * <p>A report that changes nothing is acknowledged by this host alone while it is up to date; any other is acknowledged
 * only after it is committed. Each control host records its own last contact with members and reports it to the leader,
 * which removes silent members. Safe for use by many threads.
 */
public final class FleetControl {
    private static final Logger LOGGER = System.getLogger(FleetControl.class.getName());
    private static final EventLog EVENTS = EventLog.of(FleetControl.class);
    /** Less than the second that a leaf waits for the acknowledgement. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(850);
    /** Less than the second that an operator's request waits for the answer. */
    private static final Duration CHANGE_TIMEOUT = Duration.ofMillis(900);

    private static final Duration READ_TIMEOUT = Duration.ofMillis(800);
    /** A few round trips; a caller's request waits for the result. */
    private static final Duration VERSION_READ_TIMEOUT = Duration.ofMillis(450);
    /** More than the entry hosts that follow one control host, each of which has one query at a time. */
    private static final int MAX_VERSION_QUERIES = 10_000;

    private final ControlNode node;
    private final ControlClient client;
    private final PeerNetwork network;
    private final MetricRegistry metrics;
    private final InstantSource wallClock;
    private final ZoneDrainOrders zoneOrders;
    private final MembershipMonitor membership = new MembershipMonitor();
    private final ShardAccessPolicy shardAccess = new ShardAccessPolicy();
    private volatile ImmutableList<String> knownControlHosts = ImmutableList.of();
    private volatile ImmutableSet<String> hostsInOtherRegions = ImmutableSet.of();
    private final SharedReads<Consumer<VersionQueryResult>> versionReads = new SharedReads<>(MAX_VERSION_QUERIES);
    private boolean wasLeader;

    /**
     * Creates the service.
     *
     * @param self the name of this control host
     */
    public FleetControl(
            String self,
            ControlNode node,
            ControlClient client,
            PeerNetwork network,
            MetricRegistry metrics,
            MonotonicClock clock,
            InstantSource wallClock) {
        this.node = node;
        this.client = client;
        this.network = network;
        this.metrics = metrics;
        this.wallClock = wallClock;
        this.zoneOrders = new ZoneDrainOrders(self, node, client, CHANGE_TIMEOUT, clock);
    }

    /** Handles the report of a leaf. */
    public Uni<FleetOutcome> reportLeaf(LeafRecord report) {
        return node.withTables((tables, upToDate, nowNanos) -> {
                    synchronized (membership) {
                        membership.recordLeafContact(report.getId(), nowNanos);
                    }
                    if (!upToDate) {
                        return Optional.of(FleetOutcome.NOT_TAKEN);
                    }
                    return tables.wouldChange(report)
                            ? Optional.<FleetOutcome>empty()
                            : Optional.of(FleetOutcome.ACKNOWLEDGED);
                })
                .chain(knownOutcome -> knownOutcome.isPresent()
                        ? Uni.createFrom().item(knownOutcome.get())
                        : propose(Command.newBuilder().setReportLeaf(report).build(), REPORT_TIMEOUT)
                                .invoke(outcome -> logLeafReport(report, outcome)))
                .onFailure()
                .recoverWithItem(FleetControl::onRoleStopped)
                .invoke(outcome -> count("fleet_leaf_report_", outcome));
    }

    /** Logs a report that changed something; these are rare enough not to be rate-limited. */
    private static void logLeafReport(LeafRecord report, FleetOutcome outcome) {
        EVENTS.info("leaf_reported")
                .with("leaf", report.getId())
                .with("service", report.getService())
                .with("phase", report.getPhase().name())
                .with("sequence", report.getSequence())
                .with("outcome", outcome.name())
                .write();
    }

    /** Proposes a whole configuration, which must have been validated. */
    public Uni<FleetOutcome> putConfiguration(long version, ByteString compressedDocument) {
        Command command = Command.newBuilder()
                .setPutConfiguration(
                        PutConfiguration.newBuilder().setVersion(version).setDocument(compressedDocument))
                .build();
        return propose(command, CHANGE_TIMEOUT).invoke(outcome -> {
            count("fleet_configuration_", outcome);
            EVENTS.info("configuration_put")
                    .with("configuration", version)
                    .with("outcome", outcome.name())
                    .write();
        });
    }

    /**
     * Handles a host's report on requests under which leaves ended; returns true if the report is committed or already
     * known.
     */
    public Uni<Boolean> reportHarm(HarmReport report) {
        return node.withTables((tables, upToDate, nowNanos) ->
                        upToDate && !tables.harm().wouldChange(report))
                .chain(isKnown -> isKnown
                        ? Uni.createFrom().item(FleetOutcome.ACKNOWLEDGED)
                        : propose(
                                Command.newBuilder()
                                        .setReportHarm(report.toBuilder().setAtMillis(wallClock.millis()))
                                        .build(),
                                REPORT_TIMEOUT))
                .onFailure()
                .recoverWithItem(FleetControl::onRoleStopped)
                .invoke(outcome -> count("fleet_harm_report_", outcome))
                .map(outcome -> outcome == FleetOutcome.ACKNOWLEDGED);
    }

    /** Requests a trial of a suspect request. Returns whether it is granted, or nothing if that was not decided. */
    public Uni<Optional<Boolean>> takeTrial(TakeTrial trial) {
        Command command = Command.newBuilder()
                .setTakeTrial(trial.toBuilder().setAtMillis(wallClock.millis()))
                .build();
        return client.propose(command, REPORT_TIMEOUT)
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

    /** Executes an operator's order to start or end the drain of an availability zone. */
    public Uni<FleetOutcome> drainZone(String zone, boolean drained, OrderCaller caller) {
        return zoneOrders.execute(zone, drained, caller).invoke(outcome -> count("fleet_zone_drain_", outcome));
    }

    /** Returns the compressed document of the newest configuration, or nothing if a leader could not confirm it. */
    public Uni<Optional<ByteString>> newestConfiguration() {
        return client.read(
                        ControlRead.newBuilder()
                                .setKind(ControlRead.Kind.ROUTING)
                                .build(),
                        READ_TIMEOUT)
                .map(result -> result.getCurrent() ? Optional.of(result.getRoutingDocument()) : Optional.empty());
    }

    /** Returns the version of the newest configuration, confirmed after this call. Concurrent requests share a read. */
    public Uni<VersionQueryResult> newestVersion() {
        return Uni.createFrom().emitter(emitter -> {
            boolean queued;
            synchronized (versionReads) {
                queued = versionReads.await(emitter::complete);
            }
            if (queued) {
                readVersionIfRequested();
            } else {
                emitter.complete(VersionQueryResult.getDefaultInstance());
            }
        });
    }

    private void readVersionIfRequested() {
        synchronized (versionReads) {
            if (!versionReads.begin()) {
                return;
            }
        }
        client.read(
                        ControlRead.newBuilder()
                                .setKind(ControlRead.Kind.ROUTING_VERSION)
                                .build(),
                        VERSION_READ_TIMEOUT)
                .subscribe()
                .with(result -> onVersionRead(result.getCurrent(), result.getRoutingVersion()), failure -> {
                    LOGGER.log(Logger.Level.DEBUG, "the newest version was not read: {0}", failure.getMessage());
                    onVersionRead(false, 0);
                });
    }

    private void onVersionRead(boolean current, long version) {
        ImmutableList<Consumer<VersionQueryResult>> waiters;
        synchronized (versionReads) {
            waiters = versionReads.takeWaiters();
            versionReads.end();
        }
        VersionQueryResult result = VersionQueryResult.newBuilder()
                .setCurrent(current)
                .setVersion(version)
                .build();
        waiters.forEach(waiter -> waiter.accept(result));
        readVersionIfRequested();
    }

    /**
     * Returns the changes of the tables that a host requests. Records the contact if the request contains the host's
     * record.
     */
    public Uni<TableDelta> pull(TablePull pull) {
        if (!pull.hasSelf()) {
            return node.pullTables(pull);
        }
        HostRecord host = pull.getSelf();
        return node.withTables((tables, upToDate, nowNanos) -> {
                    synchronized (membership) {
                        membership.recordHostContact(host.getName(), pull.getQueriesAMinute(), nowNanos);
                    }
                    return upToDate && tables.wouldChange(host);
                })
                .invoke(changesTables -> {
                    if (changesTables) {
                        reportHost(host);
                    }
                })
                .chain(unused -> node.pullTables(pull));
    }

    /** Proposes to add a host to the tables or to update its record. */
    public void reportHost(HostRecord host) {
        propose(Command.newBuilder().setReportHost(host).build(), REPORT_TIMEOUT)
                .subscribe()
                .with(
                        outcome -> LOGGER.log(
                                Logger.Level.DEBUG, "the report of host {0} ended with {1}", host.getName(), outcome),
                        failure -> LOGGER.log(Logger.Level.WARNING, "a host's report could not be proposed", failure));
    }

    /** Merges the contacts that another control host reports. */
    public void mergeContacts(HeardMembers report, long nowNanos) {
        synchronized (membership) {
            membership.merge(report, nowNanos);
        }
    }

    /**
     * Reports the recorded contacts to the leader or, on the leader, removes silent members. Call it every second.
     *
     * @param own the record that the tables should have of this host
     * @param onRemoved receives the revision of tables that list this host as gone
     */
    public void reportContacts(HostRecord own, LongConsumer onRemoved) {
        node.withTables((tables, upToDate, nowNanos) -> {
                    synchronized (membership) {
                        membership.recordHostContact(own.getName(), 0, nowNanos);
                        knownControlHosts = tables.presentHosts().stream()
                                .filter(host -> !host.getControlAddress().isEmpty())
                                .map(HostRecord::getPeerAddress)
                                .collect(ImmutableList.toImmutableList());
                        hostsInOtherRegions = tables.presentHosts().stream()
                                .filter(host -> !host.getRegion().equals(own.getRegion()))
                                .map(HostRecord::getPeerAddress)
                                .collect(ImmutableSet.toImmutableSet());
                        if (upToDate && tables.isGone(own)) {
                            onRemoved.accept(tables.revision());
                        } else if (upToDate && tables.wouldChange(own)) {
                            reportHost(own);
                        }
                        boolean leading = node.isLeader();
                        if (leading && !wasLeader) {
                            membership.reset(tables, nowNanos);
                        }
                        wasLeader = leading;
                        HeardMembers report = membership.takeReport();
                        if (!leading) {
                            node.leader().ifPresent(leader -> sendContacts(leader, report));
                            return ForgetMembers.getDefaultInstance();
                        }
                        updateShardAccess(tables, nowNanos);
                        return membership.silentMembers(tables, nowNanos);
                    }
                })
                .subscribe()
                .with(
                        this::markGone,
                        failure -> LOGGER.log(
                                Logger.Level.DEBUG, "contacts were not reported: the control role has stopped"));
    }

    /**
     * On the leader, switches between direct calls to the leaves of shards and calls through holders if the rate of
     * queries requires it.
     */
    private void updateShardAccess(ReplicatedTables tables, long nowNanos) {
        int entryHosts = (int)
                tables.presentHosts().stream().filter(HostRecord::getEntry).count();
        OptionalInt queriesPerMinute = membership.queriesPerMinute(tables);
        shardAccess
                .decide(tables.throughHolders(), entryHosts, queriesPerMinute, nowNanos)
                .ifPresent(throughHolders -> {
                    EVENTS.info("shard_access_changes")
                            .with("throughHolders", throughHolders)
                            .with("queriesAMinute", queriesPerMinute.orElse(0))
                            .with("entryHosts", entryHosts)
                            .write();
                    proposeAsLeader(Command.newBuilder()
                            .setSetShardAccess(SetShardAccess.newBuilder().setThroughHolders(throughHolders))
                            .build());
                });
    }

    /** Returns the record of a leaf in the tables of this host. */
    public Uni<Optional<LeafRecord>> findLeaf(String id) {
        return node.withTables((tables, upToDate, nowNanos) -> tables.leaf(id));
    }

    /** Returns a ready control host in a zone, or else in its region, if the tables have one. */
    public Uni<Optional<HostRecord>> nearestControl(String zone, String region) {
        return node.withTables((tables, upToDate, nowNanos) -> {
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

    /** Returns the peer addresses of the control hosts, according to tables at most a second old. */
    public ImmutableList<String> knownControlHosts() {
        return knownControlHosts;
    }

    /** Returns true if the host at a peer address is in another region, according to tables at most a second old. */
    public boolean isInOtherRegion(String peerAddress) {
        return hostsInOtherRegions.contains(peerAddress);
    }

    private void sendContacts(String leader, HeardMembers report) {
        if (report.getLeafIdsCount() + report.getHostNamesCount() > 0) {
            network.send(leader, Envelope.newBuilder().setHeardMembers(report));
        }
    }

    private void markGone(ForgetMembers silent) {
        if (silent.getLeafIdsCount() + silent.getHostsCount() == 0) {
            return;
        }
        EVENTS.info("members_forgotten")
                .with("leafs", String.join(" ", silent.getLeafIdsList()))
                .with("hosts", silent.getHostsCount())
                .write();
        proposeAsLeader(Command.newBuilder().setForgetMembers(silent).build());
    }

    /**
     * Proposes a decision that this host made as the leader. It is not passed on to another leader, which decides for
     * itself: this host may have lost the leadership long ago without knowing.
     */
    private void proposeAsLeader(Command decision) {
        node.propose(decision)
                .subscribe()
                .with(
                        result -> LOGGER.log(Logger.Level.DEBUG, "a decision of the leader ended with {0}", result),
                        failure -> LOGGER.log(
                                Logger.Level.WARNING, "a decision of the leader could not be proposed", failure));
    }

    private Uni<FleetOutcome> propose(Command command, Duration timeout) {
        return client.propose(command, timeout).map(result -> {
            if (result instanceof ProposalResult.Applied) {
                return FleetOutcome.ACKNOWLEDGED;
            }
            return result instanceof ProposalResult.Rejected ? FleetOutcome.NOT_TAKEN : FleetOutcome.UNDECIDED;
        });
    }

    private void count(String prefix, FleetOutcome outcome) {
        metrics.counter(prefix + outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    private static FleetOutcome onRoleStopped(Throwable failure) {
        LOGGER.log(
                Logger.Level.DEBUG,
                "rejected a report because the control role has stopped: {0}",
                failure.getMessage());
        return FleetOutcome.NOT_TAKEN;
    }
}
