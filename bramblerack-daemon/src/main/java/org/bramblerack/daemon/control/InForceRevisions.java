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
 * <p>Each control host records only the reports it received itself; the hosts report to a new leader in turn. Not safe
 * for use by several threads.
 */
final class InForceRevisions {
    private final Map<String, HostReport> reports = new TreeMap<>();

    void record(ConfigurationPull pull, long nowNanos) {
        HostReport known = reports.get(pull.getHost());
        if (known == null || known.incarnation() <= pull.getIncarnation()) {
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
        reports.forEach((host, known) -> revisions.add(HostRevision.newBuilder()
                .setHost(host)
                .setZone(known.zone())
                .setLeaving(known.leaving())
                .setRevision(known.revision())
                .setHeardMillisAgo(TimeUnit.NANOSECONDS.toMillis(nowNanos - known.atNanos()))
                .build()));
        return revisions.build();
    }

    private record HostReport(long incarnation, String zone, boolean leaving, long revision, long atNanos) {}
}
