package org.bramblerack.daemon.control;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.bramblerack.wire.ConfigurationPull;
import org.bramblerack.wire.HostRevision;

/**
 * The configuration revision that each host reported to have in force when it last requested changes.
 *
 * <p>Each control host records only the reports that it receives itself, so a new leader learns the revisions as hosts
 * contact it. Not safe for use by several threads.
 */
final class InForceRevisions {
    private final Map<String, HostReport> reports = new TreeMap<>();

    void record(ConfigurationPull pull, long nowNanos) {
        HostReport previous = reports.get(pull.getHost());
        if (previous == null || previous.incarnation() <= pull.getIncarnation()) {
            reports.put(
                    pull.getHost(),
                    new HostReport(
                            pull.getIncarnation(),
                            pull.getZone(),
                            pull.getLeaving(),
                            pull.getKnownRevision(),
                            nowNanos));
        }
    }

    ImmutableList<HostRevision> toList(long nowNanos) {
        ImmutableList.Builder<HostRevision> revisions = ImmutableList.builder();
        reports.forEach((host, report) -> revisions.add(HostRevision.newBuilder()
                .setHost(host)
                .setZone(report.zone())
                .setLeaving(report.leaving())
                .setRevision(report.revision())
                .setHeardMillisAgo(TimeUnit.NANOSECONDS.toMillis(nowNanos - report.receivedNanos()))
                .build()));
        return revisions.build();
    }

    private record HostReport(long incarnation, String zone, boolean leaving, long revision, long receivedNanos) {}
}
