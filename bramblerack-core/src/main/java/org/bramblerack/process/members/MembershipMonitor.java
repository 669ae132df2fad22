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
    static final Duration LEAF_TIMEOUT = Duration.ofSeconds(20);
    /** A host asks for changes at least once a second. */
    static final Duration HOST_TIMEOUT = Duration.ofSeconds(6);

    private final Map<String, Long> lastLeafContactNanos = new HashMap<>();
    private final Map<String, Long> lastHostContactNanos = new HashMap<>();
    private final Map<String, Integer> queriesPerMinuteByHost = new HashMap<>();
    private HeardMembers.Builder pendingReport = HeardMembers.newBuilder();

    /** Notes that a leaf reported to this host. */
    public void recordLeafContact(String id, long nowNanos) {
        lastLeafContactNanos.put(id, nowNanos);
        pendingReport.addLeafIds(id);
    }

    /**
     * Notes that a host asked this host for changes.
     *
     * @param queriesPerMinute the queries over shards that it takes from callers
     */
    public void recordHostContact(String name, int queriesPerMinute, long nowNanos) {
        updateHost(name, queriesPerMinute, nowNanos);
        pendingReport.addHostNames(name).addQueriesAMinute(queriesPerMinute);
    }

    /** Takes what another control host has heard of. */
    public void merge(HeardMembers report, long nowNanos) {
        report.getLeafIdsList().forEach(id -> lastLeafContactNanos.put(id, nowNanos));
        boolean hasRates = report.getQueriesAMinuteCount() == report.getHostNamesCount();
        for (int position = 0; position < report.getHostNamesCount(); position++) {
            updateHost(report.getHostNames(position), hasRates ? report.getQueriesAMinute(position) : 0, nowNanos);
        }
    }

    /**
     * Returns the queries a minute that the entry hosts take together; empty as long as some have not told theirs, as
     * just after this host began to lead.
     */
    public OptionalInt queriesPerMinute(ReplicatedTables tables) {
        int sum = 0;
        for (HostRecord host : tables.presentHosts()) {
            Integer reported = queriesPerMinuteByHost.get(host.getName());
            if (host.getEntry() && reported == null) {
                return OptionalInt.empty();
            }
            sum += host.getEntry() && reported != null ? reported : 0;
        }
        return OptionalInt.of(sum);
    }

    private void updateHost(String name, int queriesPerMinute, long nowNanos) {
        lastHostContactNanos.put(name, nowNanos);
        queriesPerMinuteByHost.put(name, queriesPerMinute);
    }

    /** Returns what was heard of since the last call, for the leader. */
    public HeardMembers takeReport() {
        HeardMembers report = pendingReport.build();
        pendingReport = HeardMembers.newBuilder();
        return report;
    }

    /** Begins anew, as a host that begins to lead does: every member counts as heard of now. */
    public void reset(ReplicatedTables tables, long nowNanos) {
        lastLeafContactNanos.clear();
        lastHostContactNanos.clear();
        queriesPerMinuteByHost.clear();
        tables.presentLeaves().forEach(leaf -> lastLeafContactNanos.put(leaf.getId(), nowNanos));
        tables.presentHosts().forEach(host -> lastHostContactNanos.put(host.getName(), nowNanos));
    }

    /** Returns the members that nobody has heard of for too long. */
    public ForgetMembers silentMembers(ReplicatedTables tables, long nowNanos) {
        ForgetMembers.Builder silent = ForgetMembers.newBuilder();
        for (LeafRecord leaf : tables.presentLeaves()) {
            long contactNanos = lastLeafContactNanos.computeIfAbsent(leaf.getId(), unused -> nowNanos);
            if (nowNanos - contactNanos > LEAF_TIMEOUT.toNanos()) {
                silent.addLeafIds(leaf.getId());
                lastLeafContactNanos.remove(leaf.getId());
            }
        }
        for (HostRecord host : tables.presentHosts()) {
            long contactNanos = lastHostContactNanos.computeIfAbsent(host.getName(), unused -> nowNanos);
            if (nowNanos - contactNanos > HOST_TIMEOUT.toNanos()) {
                silent.addHosts(host);
                lastHostContactNanos.remove(host.getName());
                queriesPerMinuteByHost.remove(host.getName());
            }
        }
        return silent.build();
    }
}
