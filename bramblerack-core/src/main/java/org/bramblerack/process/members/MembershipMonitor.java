package org.bramblerack.process.members;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.bramblerack.wire.ForgetMembers;
import org.bramblerack.wire.HeardMembers;
import org.bramblerack.wire.HostRecord;
import org.bramblerack.wire.LeafRecord;

/**
 * Watches which members were heard of lately, so that the leader can forget those that nobody hears.
 *
 * <p>Each control host notes the members that report to it and tells the leader; the leader gives every member a full
 * period of grace when it begins to lead. Not safe for use by several threads.
 */
public final class MembershipMonitor {
    /** A leaf reports about every second and at times some seconds late; own calls notice a crash long before. */
    static final Duration LEAF_SILENCE = Duration.ofSeconds(20);
    /** A host asks for changes at least once a second. */
    static final Duration HOST_SILENCE = Duration.ofSeconds(6);

    private final Map<String, Long> leavesHeardNanos = new HashMap<>();
    private final Map<String, Long> hostsHeardNanos = new HashMap<>();
    private final Map<String, Integer> queriesAMinuteByHost = new HashMap<>();
    private HeardMembers.Builder sinceReport = HeardMembers.newBuilder();

    /** Notes that a leaf reported to this host. */
    public void recordLeafContact(String id, long nowNanos) {
        leavesHeardNanos.put(id, nowNanos);
        sinceReport.addLeafIds(id);
    }

    /**
     * Notes that a host asked this host for changes.
     *
     * @param queriesAMinute the queries over shards that it takes from callers
     */
    public void recordHostContact(String name, int queriesAMinute, long nowNanos) {
        noteHost(name, queriesAMinute, nowNanos);
        sinceReport.addHostNames(name).addQueriesAMinute(queriesAMinute);
    }

    /** Takes what another control host has heard of. */
    public void merge(HeardMembers report, long nowNanos) {
        report.getLeafIdsList().forEach(id -> leavesHeardNanos.put(id, nowNanos));
        boolean rated = report.getQueriesAMinuteCount() == report.getHostNamesCount();
        for (int position = 0; position < report.getHostNamesCount(); position++) {
            noteHost(report.getHostNames(position), rated ? report.getQueriesAMinute(position) : 0, nowNanos);
        }
    }

    /**
     * Returns the queries a minute that the entry hosts take together; empty as long as some have not told theirs, as
     * just after this host began to lead.
     */
    public OptionalInt queriesPerMinute(ReplicatedTables tables) {
        int sum = 0;
        for (HostRecord host : tables.presentHosts()) {
            Integer told = queriesAMinuteByHost.get(host.getName());
            if (host.getEntry() && told == null) {
                return OptionalInt.empty();
            }
            sum += host.getEntry() && told != null ? told : 0;
        }
        return OptionalInt.of(sum);
    }

    private void noteHost(String name, int queriesAMinute, long nowNanos) {
        hostsHeardNanos.put(name, nowNanos);
        queriesAMinuteByHost.put(name, queriesAMinute);
    }

    /** Returns what was heard of since the last call, for the leader. */
    public HeardMembers takeReport() {
        HeardMembers report = sinceReport.build();
        sinceReport = HeardMembers.newBuilder();
        return report;
    }

    /** Begins anew, as a host that begins to lead does: every member counts as heard of now. */
    public void reset(ReplicatedTables tables, long nowNanos) {
        leavesHeardNanos.clear();
        hostsHeardNanos.clear();
        queriesAMinuteByHost.clear();
        tables.presentLeaves().forEach(leaf -> leavesHeardNanos.put(leaf.getId(), nowNanos));
        tables.presentHosts().forEach(host -> hostsHeardNanos.put(host.getName(), nowNanos));
    }

    /** Returns the members that nobody has heard of for too long. */
    public ForgetMembers silentMembers(ReplicatedTables tables, long nowNanos) {
        ForgetMembers.Builder silent = ForgetMembers.newBuilder();
        for (LeafRecord leaf : tables.presentLeaves()) {
            long heardNanos = leavesHeardNanos.computeIfAbsent(leaf.getId(), unused -> nowNanos);
            if (nowNanos - heardNanos > LEAF_SILENCE.toNanos()) {
                silent.addLeafIds(leaf.getId());
                leavesHeardNanos.remove(leaf.getId());
            }
        }
        for (HostRecord host : tables.presentHosts()) {
            long heardNanos = hostsHeardNanos.computeIfAbsent(host.getName(), unused -> nowNanos);
            if (nowNanos - heardNanos > HOST_SILENCE.toNanos()) {
                silent.addHosts(host);
                hostsHeardNanos.remove(host.getName());
                queriesAMinuteByHost.remove(host.getName());
            }
        }
        return silent.build();
    }
}
