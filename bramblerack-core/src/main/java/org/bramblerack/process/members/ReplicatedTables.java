package org.bramblerack.process.members;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
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
 * The part of the agreed state that every host follows: the routing configuration, the leafs, the hosts, and the
 * requests that end leafs.
 *
 * <p>Invariants: the same commands in the same order give the same tables everywhere. Each change raises the revision
 * by one, so that a host that knows a revision can be sent what changed since. The configuration's version only grows.
 * A life of a leaf that has ended never comes back, and a late report never undoes a newer one. Not safe for use by
 * several threads.
 */
public final class ReplicatedTables {
    /** How many departed leafs and hosts are remembered, so that their late reports change nothing. */
    static final int MAX_DEPARTED = 4_096;

    private final Map<String, LeafRecord> leaves = new LinkedHashMap<>();
    private final Map<String, HostRecord> hosts = new LinkedHashMap<>();
    private long revision;
    private long configurationVersion;
    private ByteString configuration = ByteString.EMPTY;
    private long configurationRevision;
    private long forgottenRevision;
    private boolean throughHolders;
    private final SortedSet<String> drainedZones = new TreeSet<>();
    private final HarmRecords harm = new HarmRecords();

    /** Takes a whole configuration if its version is above the one held. */
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

    /** Takes the report of a leaf unless a newer one was taken. */
    public CommandResult applyReport(LeafRecord report) {
        LeafRecord known = leaves.get(report.getId());
        if (known != null && !LeafReports.isNews(known, report)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        LeafRecord next = (known == null ? report.toBuilder() : LeafReports.merge(known, report))
                .setChangedRevision(revision)
                .build();
        leaves.remove(report.getId());
        leaves.put(report.getId(), next);
        forgetOldest();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Takes the report of a host if it tells of another start or a later phase than the one known. */
    public CommandResult applyReport(HostRecord report) {
        HostRecord known = hosts.get(report.getName());
        if (known != null && !changes(known, report)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        hosts.remove(report.getName());
        hosts.put(
                report.getName(),
                report.toBuilder().setChangedRevision(revision).build());
        forgetOldest();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Marks members as gone that nobody has heard of; a host only if it was not started anew meanwhile. */
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

    /** Changes how hosts reach the leafs of shards. */
    public CommandResult set(SetShardAccess change) {
        if (change.getThroughHolders() == throughHolders) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        throughHolders = change.getThroughHolders();
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Has the leafs of an availability zone get no work, or takes that back. */
    public CommandResult set(SetZoneDrain change) {
        boolean changes =
                change.getDrained() ? drainedZones.add(change.getZone()) : drainedZones.remove(change.getZone());
        if (!changes) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Takes what a host saw of requests that end leafs. */
    public CommandResult applyReport(HarmReport report) {
        if (!harm.applyReport(report, revision + 1)) {
            return result(CommandResult.Kind.SUPERSEDED);
        }
        revision++;
        return result(CommandResult.Kind.ACCEPTED);
    }

    /** Has an arrival of a request that is on trial tried, unless another is; or takes that back. */
    public CommandResult takeTrial(TakeTrial trial) {
        if (trial.getGivenBack()) {
            if (harm.endTrial(trial, revision + 1)) {
                revision++;
            }
            return result(CommandResult.Kind.ACCEPTED);
        }
        return result(harm.tryStartTrial(trial) ? CommandResult.Kind.ACCEPTED : CommandResult.Kind.CONFLICT);
    }

    /** Returns what is held of requests that end leafs, to be read only. */
    public HarmRecords harm() {
        return harm;
    }

    /** Returns the availability zones whose leafs get no work. */
    public ImmutableSortedSet<String> drainedZones() {
        return ImmutableSortedSet.copyOf(drainedZones);
    }

    /** Returns true if only a few hosts connect to a leaf of a shard, and the others ask through them. */
    public boolean throughHolders() {
        return throughHolders;
    }

    /** Returns true if the report of a leaf says anything new. */
    public boolean wouldChange(LeafRecord report) {
        LeafRecord known = leaves.get(report.getId());
        return known == null || LeafReports.isNews(known, report);
    }

    /** Returns true if the report of a host says anything new. */
    public boolean wouldChange(HostRecord report) {
        HostRecord known = hosts.get(report.getName());
        return known == null || changes(known, report);
    }

    /** Returns the revision: how many changes were made so far. */
    public long revision() {
        return revision;
    }

    /** Returns the version of the configuration in force, 0 if there is none. */
    public long configurationVersion() {
        return configurationVersion;
    }

    /** Returns the compressed document of the configuration in force. */
    public ByteString configuration() {
        return configuration;
    }

    /** Returns a leaf, present or departed, if it is remembered. */
    public Optional<LeafRecord> leaf(String id) {
        return Optional.ofNullable(leaves.get(id));
    }

    /** Returns a host, present or departed, if it is remembered. */
    public Optional<HostRecord> host(String name) {
        return Optional.ofNullable(hosts.get(name));
    }

    /** Returns the leafs that have not left. */
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

    /** Returns what changed since a revision, or everything if too much was forgotten since. */
    public TableDelta.Builder changesSince(long knownRevision) {
        boolean whole = knownRevision < forgottenRevision || knownRevision > revision || knownRevision == 0;
        long since = whole ? 0 : knownRevision;
        TableDelta.Builder delta = TableDelta.newBuilder()
                .setRevision(revision)
                .setWhole(whole)
                .setConfigurationVersion(configurationVersion)
                .setThroughHolders(throughHolders)
                .addAllDrainedZones(drainedZones)
                .addAllHarm(harm.changedSince(since));
        if (configurationRevision > since) {
            delta.setConfiguration(configuration);
        }
        for (LeafRecord leaf : leaves.values()) {
            boolean departed = leaf.getPhase() == LeafRecord.Phase.GONE;
            if (leaf.getChangedRevision() > since && !(whole && departed)) {
                delta.addLeaves(leaf);
            }
        }
        for (HostRecord host : hosts.values()) {
            boolean departed = host.getPhase() == HostRecord.Phase.GONE;
            if (host.getChangedRevision() > since && !(whole && departed)) {
                delta.addHosts(host);
            }
        }
        return delta;
    }

    /** Returns everything, for a snapshot. */
    public MemberTables toSnapshot() {
        return MemberTables.newBuilder()
                .setRevision(revision)
                .setConfigurationVersion(configurationVersion)
                .setConfiguration(configuration)
                .setConfigurationRevision(configurationRevision)
                .setForgottenRevision(forgottenRevision)
                .setThroughHolders(throughHolders)
                .addAllDrainedZones(drainedZones)
                .addAllLeaves(leaves.values())
                .addAllHosts(hosts.values())
                .addAllHarm(harm.all())
                .setHarmClockMillis(harm.clockMillis())
                .setHarmNumber(harm.lastNumber())
                .build();
    }

    /** Replaces everything by what a snapshot holds. */
    public void restore(MemberTables snapshot) {
        leaves.clear();
        hosts.clear();
        revision = snapshot.getRevision();
        configurationVersion = snapshot.getConfigurationVersion();
        configuration = snapshot.getConfiguration();
        configurationRevision = snapshot.getConfigurationRevision();
        forgottenRevision = snapshot.getForgottenRevision();
        throughHolders = snapshot.getThroughHolders();
        drainedZones.clear();
        drainedZones.addAll(snapshot.getDrainedZonesList());
        snapshot.getLeavesList().forEach(leaf -> leaves.put(leaf.getId(), leaf));
        snapshot.getHostsList().forEach(host -> hosts.put(host.getName(), host));
        harm.restore(snapshot.getHarmList(), snapshot.getHarmClockMillis(), snapshot.getHarmNumber());
    }

    private static boolean changes(HostRecord known, HostRecord report) {
        if (report.getIncarnation() != known.getIncarnation()) {
            return true;
        }
        return known.getPhase().getNumber() < report.getPhase().getNumber();
    }

    /** Keeps the memory of departed members bounded. */
    private void forgetOldest() {
        forgetOldestOf(leaves, leaf -> leaf.getPhase() == LeafRecord.Phase.GONE, LeafRecord::getChangedRevision);
        forgetOldestOf(hosts, host -> host.getPhase() == HostRecord.Phase.GONE, HostRecord::getChangedRevision);
    }

    /** Forgets the departed that changed longest ago; the records are in the order of their last change. */
    private <T> void forgetOldestOf(
            Map<String, T> records, Predicate<T> isDeparted, ToLongFunction<T> changedRevision) {
        if (records.size() <= MAX_DEPARTED) {
            return;
        }
        long excess = records.values().stream().filter(isDeparted).count() - MAX_DEPARTED;
        Iterator<T> oldestFirst = records.values().iterator();
        while (excess > 0 && oldestFirst.hasNext()) {
            T record = oldestFirst.next();
            if (isDeparted.test(record)) {
                oldestFirst.remove();
                forgottenRevision = Math.max(forgottenRevision, changedRevision.applyAsLong(record));
                excess--;
            }
        }
    }

    private CommandResult result(CommandResult.Kind kind) {
        return CommandResult.newBuilder().setKind(kind).setRevision(revision).build();
    }
}
