package org.bramblerack.process.members;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.bramblerack.process.harm.HarmRecords;
import org.bramblerack.wire.CommandResult;
import org.bramblerack.wire.ForgetMembers;
import org.bramblerack.wire.HarmReport;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;
import org.bramblerack.wire.MemberTables;
import org.bramblerack.wire.PutConfiguration;
import org.bramblerack.wire.SetShardAccess;
import org.bramblerack.wire.SetZoneDrain;
import org.bramblerack.wire.TableDelta;
import org.bramblerack.wire.TakeTrial;

/**
 * The part of the replicated state that all hosts follow: the routing configuration, the leaves, the hosts, and the
 * requests under which leaves ended.
 *
 * <p>Invariants: the same commands in the same order give the same tables on every voter. Each change raises the
 * revision by one, so that a host that knows a revision can be sent the changes since. The configuration's version only
 * grows. An incarnation of a leaf that has ended stays ended, and a late report or order never undoes a newer one. Not
 * safe for use by several threads.
 */
public final class ReplicatedTables {
    /** How many departed leaves, and as many hosts, are kept so that their late reports are recognized. */
    static final int MAX_DEPARTED = 4_096;

    private final Map<String, LeafRecord> leaves = new LinkedHashMap<>();
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private long revision;
    private long configurationVersion;
    private ByteString configuration = ByteString.EMPTY;
    private long configurationRevision;
    private long evictedRevision;
    private boolean throughHolders;
    private final ZoneDrains zoneDrains = new ZoneDrains();
    private final HarmRecords harm = new HarmRecords();

    /** Replaces the configuration if the given one has a higher version. */
    public CommandResult putConfiguration(PutConfiguration change) {
        if (change.getVersion() <= configurationVersion) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        configurationVersion = change.getVersion();
        configuration = change.getDocument();
        configurationRevision = revision;
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Applies the report of a leaf unless a newer one has been applied. */
    public CommandResult applyReport(LeafRecord report) {
        LeafRecord known = leaves.get(report.getId());
        if (known != null && !LeafReports.isNewer(known, report)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        LeafRecord next = (known == null ? report.toBuilder() : LeafReports.merge(known, report))
                .setChangedRevision(revision)
                .build();
        leaves.remove(report.getId());
        leaves.put(report.getId(), next);
        evictOldestDeparted();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Applies the report of a host if it names another incarnation or a later phase than the known one. */
    public CommandResult applyReport(HostRecord report) {
        HostRecord known = hosts.get(report.getName());
        if (known != null && !isNewer(known, report)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        hosts.remove(report.getName());
        hosts.put(
                report.getName(),
                report.toBuilder().setChangedRevision(revision).build());
        evictOldestDeparted();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Marks silent members as gone; a host only if its incarnation is still the one in the command. */
    public CommandResult markGone(ForgetMembers change) {
        for (String id : change.getLeafIdsList()) {
            LeafRecord known = leaves.get(id);
            if (known != null) {
                applyReport(known.toBuilder().setPhase(LeafRecord.Phase.GONE).build());
            }
        }
        for (HostRecord host : change.getHostsList()) {
            HostRecord known = hosts.get(host.getName());
            if (known != null && known.getIncarnation() == host.getIncarnation()) {
                applyReport(known.toBuilder().setPhase(HostRecord.Phase.GONE).build());
            }
        }
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Sets whether hosts call the leaves of shards directly or through holders. */
    public CommandResult set(SetShardAccess change) {
        if (change.getThroughHolders() == throughHolders) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        throughHolders = change.getThroughHolders();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /**
     * Starts or ends the drain of an availability zone, whose leaves receive no requests meanwhile, unless a newer
     * order demands the opposite.
     */
    public CommandResult set(SetZoneDrain order) {
        CommandResult.Kind kind = zoneDrains.apply(order);
        if (kind == CommandResult.Kind.ACCEPTED) {
            revision++;
        }
        return result(kind).toBuilder()
                .setZoneOrder(zoneDrains.lastOrder(order.getZone()))
                .build();
    }

    /** Applies a host's report on requests under which leaves ended. */
    public CommandResult applyReport(HarmReport report) {
        if (!harm.applyReport(report, revision + 1)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Grants a trial of a suspect request unless another one is under way, or ends a trial that was granted. */
    public CommandResult takeTrial(TakeTrial trial) {
        if (trial.getGivenBack()) {
            if (harm.endTrial(trial, revision + 1)) {
                revision++;
            }
            return result(CommandResult.Kind.ACCEPTED);
        }
        return result(harm.tryStartTrial(trial) ? CommandResult.Kind.ACCEPTED : CommandResult.Kind.CONFLICT);
    }

    /** Returns the records of requests under which leaves ended. Callers must not modify them. */
    public HarmRecords harm() {
        return harm;
    }

    /** Returns the drained availability zones, whose leaves receive no requests. */
    public ImmutableSortedSet<String> drainedZones() {
        return zoneDrains.drainedZones();
    }

    /** Returns the number of the last order on the drain of a zone, which the next one has to name. */
    public long lastZoneOrder(String zone) {
        return zoneDrains.lastOrder(zone);
    }

    /** Returns true if only a few hosts, the holders, connect to a leaf of a shard and forward the others' calls. */
    public boolean throughHolders() {
        return throughHolders;
    }

    /** Returns true if applying the report of a leaf would change the tables. */
    public boolean wouldChange(LeafRecord report) {
        LeafRecord known = leaves.get(report.getId());
        return known == null || LeafReports.isNewer(known, report);
    }

    /** Returns true if applying the report of a host would change the tables. */
    public boolean wouldChange(HostRecord report) {
        HostRecord known = hosts.get(report.getName());
        return known == null || isNewer(known, report);
    }

    /** Returns true if a host was removed and stays so until it reports another incarnation. */
    public boolean isGone(HostRecord host) {
        HostRecord known = hosts.get(host.getName());
        return known != null
                && known.getIncarnation() == host.getIncarnation()
                && known.getPhase() == HostRecord.Phase.GONE;
    }

    /** Returns the revision, which is the number of changes made so far. */
    public long revision() {
        return revision;
    }

    /** Returns the version of the configuration in force, or 0 if there is none. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /** Returns the compressed document of the configuration in force. */
    public ByteString configuration() {
        return configuration;
    }

    /** Returns a leaf, present or departed, or nothing if it is unknown or was evicted. */
    public Optional<LeafRecord> leaf(String id) {
        return Optional.ofNullable(leaves.get(id));
    }

    /** Returns a host, present or departed, or nothing if it is unknown or was evicted. */
    public Optional<HostRecord> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the leaves that have not left. */
    public ImmutableList<LeafRecord> presentLeaves() {
        return leaves.values().stream()
                .filter(leaf -> leaf.getPhase() != LeafRecord.Phase.GONE)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the hosts that have not left. */
    public ImmutableList<HostRecord> presentHosts() {
        return hosts.values().stream()
                .filter(host -> host.getPhase() != HostRecord.Phase.GONE)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the changes since a revision, or the whole tables if some of these changes were evicted. */
    public TableDelta.Builder changesSince(long knownRevision) {
        boolean full = knownRevision < evictedRevision || knownRevision > revision || knownRevision == 0;
        long since = full ? 0 : knownRevision;
        TableDelta.Builder delta = TableDelta.newBuilder()
                .setRevision(revision)
                .setWhole(full)
                .setConfigurationVersion(configurationVersion)
                .setThroughHolders(throughHolders)
                .addAllDrainedZones(zoneDrains.drainedZones())
                .addAllHarm(harm.changedSince(since));
        if (configurationRevision > since) {
            delta.setConfiguration(configuration);
        }
        for (LeafRecord leaf : leaves.values()) {
            boolean departed = leaf.getPhase() == LeafRecord.Phase.GONE;
            if (leaf.getChangedRevision() > since && !(full && departed)) {
                delta.addLeaves(leaf);
            }
        }
        for (HostRecord host : hosts.values()) {
            boolean departed = host.getPhase() == HostRecord.Phase.GONE;
            if (host.getChangedRevision() > since && !(full && departed)) {
                delta.addHosts(host);
            }
        }
        return delta;
    }

    /** Returns the whole tables for a snapshot. */
    public MemberTables toSnapshot() {
        return MemberTables.newBuilder()
                .setRevision(revision)
                .setConfigurationVersion(configurationVersion)
                .setConfiguration(configuration)
                .setConfigurationRevision(configurationRevision)
                .setForgottenRevision(evictedRevision)
                .setThroughHolders(throughHolders)
                .addAllDrainedZones(zoneDrains.drainedZones())
                .addAllZoneOrders(zoneDrains.orders())
                .addAllLeaves(leaves.values())
                .addAllHosts(hosts.values())
                .addAllHarm(harm.all())
                .setHarmClockMillis(harm.clockMillis())
                .setHarmNumber(harm.lastNumber())
                .build();
    }

    /** Replaces the whole tables by those of a snapshot. */
    public void restore(MemberTables snapshot) {
        leaves.clear();
        hosts.clear();
        revision = snapshot.getRevision();
        configurationVersion = snapshot.getConfigurationVersion();
        configuration = snapshot.getConfiguration();
        configurationRevision = snapshot.getConfigurationRevision();
        evictedRevision = snapshot.getForgottenRevision();
        throughHolders = snapshot.getThroughHolders();
        zoneDrains.restore(snapshot.getDrainedZonesList(), snapshot.getZoneOrdersList());
        snapshot.getLeavesList().forEach(leaf -> leaves.put(leaf.getId(), leaf));
        snapshot.getHostsList().forEach(host -> hosts.put(host.getName(), host));
        harm.restore(snapshot.getHarmList(), snapshot.getHarmClockMillis(), snapshot.getHarmNumber());
    }

    private static boolean isNewer(HostRecord known, HostRecord report) {
        if (report.getIncarnation() != known.getIncarnation()) {
            return true;
        }
        return known.getPhase().getNumber() < report.getPhase().getNumber();
    }

    /** Evicts departed members beyond {@link #MAX_DEPARTED}. */
    private void evictOldestDeparted() {
        evictOldest(leaves, leaf -> leaf.getPhase() == LeafRecord.Phase.GONE, LeafRecord::getChangedRevision);
        evictOldest(hosts, host -> host.getPhase() == HostRecord.Phase.GONE, HostRecord::getChangedRevision);
    }

    /** Evicts the departed members that changed longest ago; records are in the order of their last change. */
    private <T> void evictOldest(Map<String, T> records, Predicate<T> isDeparted, ToLongFunction<T> changedRevision) {
        if (records.size() <= MAX_DEPARTED) {
            return;
        }
        long excess = records.values().stream().filter(isDeparted).count() - MAX_DEPARTED;
        Iterator<T> oldestFirst = records.values().iterator();
        while (excess > 0 && oldestFirst.hasNext()) {
            T record = oldestFirst.next();
            if (isDeparted.test(record)) {
                oldestFirst.remove();
                evictedRevision = Math.max(evictedRevision, changedRevision.applyAsLong(record));
                excess--;
            }
        }
    }

    private CommandResult result(CommandResult.Kind kind) {
        return CommandResult.newBuilder().setKind(kind).setRevision(revision).build();
    }
}
