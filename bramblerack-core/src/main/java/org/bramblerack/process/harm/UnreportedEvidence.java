package org.bramblerack.process.harm;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmReport;

/**
 * The evidence about harmful requests that this host has not reported yet.
 *
 * <p>Invariants: evidence against a request is dropped once a leaf has answered it. The size is bounded; new evidence
 * beyond it is dropped, since other hosts collect it as well. Not safe for use by several threads.
 */
final class UnreportedEvidence {
    /** The maximum number of ends, and of requests, that wait to be reported. */
    private static final int MAX_PENDING = 4_096;
    /** The maximum number of ends and fingerprints in one report: about 10 KB. */
    private static final int MAX_REPORT_SIZE = 512;

    private final Map<Fingerprint, Evidence> evidence = new LinkedHashMap<>();
    private final Set<Fingerprint> cleared = new LinkedHashSet<>();
    private int endCount;

    /** Records that a leaf ended while it was running an arrival of a request. */
    void addLeafEnd(Fingerprint fingerprint, long leafStart, long arrival) {
        if (endCount >= MAX_PENDING || !hasCapacityFor(fingerprint)) {
            return;
        }
        Evidence request = evidence(fingerprint);
        request.arrivals.add(arrival);
        if (request.leafStarts.add(leafStart)) {
            endCount++;
        }
    }

    /** Records that arrivals of a request lost their connection. */
    void addDisconnects(Fingerprint fingerprint, List<Long> arrivals) {
        if (!arrivals.isEmpty() && hasCapacityFor(fingerprint)) {
            evidence(fingerprint).disconnectedArrivals.addAll(arrivals);
        }
    }

    /** Records that a query failed before a leaf of any shard had answered it. */
    void addNoShardAnswered(Fingerprint fingerprint) {
        if (hasCapacityFor(fingerprint)) {
            evidence(fingerprint).noShardAnswered = true;
        }
    }

    /** Records that a leaf answered a request. */
    void clear(Fingerprint fingerprint) {
        cleared.add(fingerprint);
        Evidence request = evidence.remove(fingerprint);
        endCount -= request == null ? 0 : request.leafStarts.size();
    }

    /**
     * Removes and returns a report of the evidence, if there is any; {@link #restore} undoes this if the report fails.
     */
    Optional<HarmReport> takeReport() {
        if (evidence.isEmpty() && cleared.isEmpty()) {
            return Optional.empty();
        }
        HarmReport.Builder report = HarmReport.newBuilder();
        int size = 0;
        Iterator<Fingerprint> clearedRequests = cleared.iterator();
        while (clearedRequests.hasNext() && size < MAX_REPORT_SIZE) {
            report.addSurvived(clearedRequests.next().toBytes());
            clearedRequests.remove();
            size++;
        }
        Iterator<Map.Entry<Fingerprint, Evidence>> suspects =
                evidence.entrySet().iterator();
        while (suspects.hasNext() && size < MAX_REPORT_SIZE) {
            Map.Entry<Fingerprint, Evidence> next = suspects.next();
            report.addEnded(next.getValue().toEvidence(next.getKey()));
            int ends = next.getValue().leafStarts.size();
            size += ends + 1;
            endCount -= ends;
            suspects.remove();
        }
        return Optional.of(report.build());
    }

    /** Restores the evidence of a report that failed, so that it is reported again. */
    void restore(HarmReport report) {
        for (HarmEvidence evidence : report.getEndedList()) {
            Fingerprint.fromBytes(evidence.getFingerprint()).ifPresent(fingerprint -> restore(fingerprint, evidence));
        }
        report.getSurvivedList().forEach(bytes -> Fingerprint.fromBytes(bytes).ifPresent(cleared::add));
    }

    private void restore(Fingerprint fingerprint, HarmEvidence evidence) {
        addDisconnects(fingerprint, evidence.getBrokenArrivalsList());
        if (evidence.getLostWhole()) {
            addNoShardAnswered(fingerprint);
        }
        for (long arrival : evidence.getArrivalsList()) {
            evidence.getLeafStartsList().forEach(leafStart -> addLeafEnd(fingerprint, leafStart, arrival));
        }
    }

    private boolean hasCapacityFor(Fingerprint fingerprint) {
        return evidence.size() < MAX_PENDING || evidence.containsKey(fingerprint);
    }

    private Evidence evidence(Fingerprint fingerprint) {
        return evidence.computeIfAbsent(fingerprint, unused -> new Evidence());
    }

    /** The evidence against one request. */
    private static final class Evidence {
        private final Set<Long> leafStarts = new LinkedHashSet<>();
        private final Set<Long> arrivals = new LinkedHashSet<>(2);
        private final Set<Long> disconnectedArrivals = new LinkedHashSet<>(2);
        private boolean noShardAnswered;

        HarmEvidence toEvidence(Fingerprint fingerprint) {
            return HarmEvidence.newBuilder()
                    .setFingerprint(fingerprint.toBytes())
                    .addAllLeafStarts(leafStarts)
                    .addAllArrivals(arrivals)
                    .addAllBrokenArrivals(disconnectedArrivals)
                    .setLostWhole(noShardAnswered)
                    .build();
        }
    }
}
