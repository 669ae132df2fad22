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
 * Tracks the last contact with each leaf and host, so that the leader can remove silent ones.
 *
 * <p>Each control host records the members that contact it and reports them to the leader. A new leader starts the
 * timeouts of all members anew, and so does one that was stalled, for example by its disk: it has not processed the
 * contacts of that time. Not safe for use by several threads.
 */
public final class MembershipMonitor {
    /**
     * Many times the report interval of about 1 s, since a report may be some seconds late. Calls to a crashed leaf
     * fail long before.
     */
    static final Duration LEAF_TIMEOUT = Duration.ofSeconds(20);
    /** Several times the interval of at most 1 s at which a host requests changes. */
    static final Duration HOST_TIMEOUT = Duration.ofSeconds(6);

    /** A leader that has not evaluated its members for longer was stalled. */
    static final Duration MAX_EVALUATION_INTERVAL = Duration.ofSeconds(3);

    private final Map<String, Long> lastLeafContactNanos = new HashMap<>();
    private final Map<String, Long> lastHostContactNanos = new HashMap<>();
    private final Map<String, Integer> queriesPerMinuteByHost = new HashMap<>();
    private long lastEvaluationNanos;
    private HeardMembers.Builder pendingReport = HeardMembers.newBuilder();

    /** Records that a leaf reported to this host. */
    public void recordLeafContact(String id, long nowNanos) {
        lastLeafContactNanos.put(id, nowNanos);
        pendingReport.addLeafIds(id);
    }

    /**
     * Records that a host requested changes from this host.
     *
     * @param queriesPerMinute the sharded queries that the host receives from callers
     */
    public void recordHostContact(String name, int queriesPerMinute, long nowNanos) {
        updateHost(name, queriesPerMinute, nowNanos);
        pendingReport.addHostNames(name).addQueriesAMinute(queriesPerMinute);
    }

    /** Merges the contacts that another control host reports. */
    public void merge(HeardMembers report, long nowNanos) {
        report.getLeafIdsList().forEach(id -> lastLeafContactNanos.put(id, nowNanos));
        boolean hasRates = report.getQueriesAMinuteCount() == report.getHostNamesCount();
        for (int position = 0; position < report.getHostNamesCount(); position++) {
            updateHost(report.getHostNames(position), hasRates ? report.getQueriesAMinute(position) : 0, nowNanos);
        }
    }

    /**
     * Returns the queries per minute that all entry hosts receive together, or empty if an entry host has not reported
     * its rate since this host became the leader.
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

    /** Returns the contacts since the last call, to be reported to the leader. */
    public HeardMembers takeReport() {
        HeardMembers report = pendingReport.build();
        pendingReport = HeardMembers.newBuilder();
        return report;
    }

    /** Resets the monitor of a new leader: all present members count as contacted now. */
    public void reset(ReplicatedTables tables, long nowNanos) {
        queriesPerMinuteByHost.clear();
        restartTimeouts(tables, nowNanos);
    }

    private void restartTimeouts(ReplicatedTables tables, long nowNanos) {
        lastEvaluationNanos = nowNanos;
        lastLeafContactNanos.clear();
        lastHostContactNanos.clear();
        tables.presentLeaves().forEach(leaf -> lastLeafContactNanos.put(leaf.getId(), nowNanos));
        tables.presentHosts().forEach(host -> lastHostContactNanos.put(host.getName(), nowNanos));
    }

    /**
     * Returns the members whose last contact is longer ago than their timeout, and stops tracking them. Call it every
     * second.
     */
    public ForgetMembers silentMembers(ReplicatedTables tables, long nowNanos) {
        if (nowNanos - lastEvaluationNanos > MAX_EVALUATION_INTERVAL.toNanos()) {
            restartTimeouts(tables, nowNanos);
        }
        lastEvaluationNanos = nowNanos;
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
