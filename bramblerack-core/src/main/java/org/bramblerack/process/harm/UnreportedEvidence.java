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
 * What this host has seen of requests that may end leafs, and has not told yet.
 *
 * <p>Invariants: what speaks against a request is not told any more once a leaf has answered it. What waits is bounded;
 * beyond that, what is new is left to other hosts, that see it as well. Not safe for use by several threads.
 */
final class UnreportedEvidence {
    /** How many ends, and how many requests, wait to be told. */
    private static final int MAX_WAITING = 4_096;
    /** How many ends and fingerprints go into one report: about 10 KB. */
    private static final int MAX_REPORTED = 512;

    private final Map<Fingerprint, Against> against = new LinkedHashMap<>();
    private final Set<Fingerprint> survived = new LinkedHashSet<>();
    private int endCount;

    /** Notes that a leaf ended with an arrival of a request on it. */
    void ended(Fingerprint fingerprint, long leafStart, long arrival) {
        if (endCount >= MAX_WAITING || !hasRoomFor(fingerprint)) {
            return;
        }
        Against request = against(fingerprint);
        request.arrivals.add(arrival);
        if (request.leafStarts.add(leafStart)) {
            endCount++;
        }
    }

    /** Notes that calls of arrivals of a request broke. */
    void broke(Fingerprint fingerprint, List<Long> arrivals) {
        if (!arrivals.isEmpty() && hasRoomFor(fingerprint)) {
            against(fingerprint).brokenArrivals.addAll(arrivals);
        }
    }

    /** Notes that a query broke before a leaf of any shard had answered it. */
    void lostWhole(Fingerprint fingerprint) {
        if (hasRoomFor(fingerprint)) {
            against(fingerprint).lostWhole = true;
        }
    }

    /** Notes that a leaf answered a request. */
    void survived(Fingerprint fingerprint) {
        survived.add(fingerprint);
        Against request = against.remove(fingerprint);
        endCount -= request == null ? 0 : request.leafStarts.size();
    }

    /** Takes a report of what waits, if anything does; it counts as told unless it is handed back. */
    Optional<HarmReport> takeReport() {
        if (against.isEmpty() && survived.isEmpty()) {
            return Optional.empty();
        }
        HarmReport.Builder report = HarmReport.newBuilder();
        int size = 0;
        Iterator<Fingerprint> acquitted = survived.iterator();
        while (acquitted.hasNext() && size < MAX_REPORTED) {
            report.addSurvived(acquitted.next().toBytes());
            acquitted.remove();
            size++;
        }
        Iterator<Map.Entry<Fingerprint, Against>> accused = against.entrySet().iterator();
        while (accused.hasNext() && size < MAX_REPORTED) {
            Map.Entry<Fingerprint, Against> next = accused.next();
            report.addEnded(next.getValue().toEvidence(next.getKey()));
            int ends = next.getValue().leafStarts.size();
            size += ends + 1;
            endCount -= ends;
            accused.remove();
        }
        return Optional.of(report.build());
    }

    /** Takes back a report that was not agreed on, to make it again. */
    void handBack(HarmReport report) {
        for (HarmEvidence evidence : report.getEndedList()) {
            Fingerprint.fromBytes(evidence.getFingerprint()).ifPresent(fingerprint -> handBack(fingerprint, evidence));
        }
        report.getSurvivedList().forEach(bytes -> Fingerprint.fromBytes(bytes).ifPresent(survived::add));
    }

    private void handBack(Fingerprint fingerprint, HarmEvidence evidence) {
        broke(fingerprint, evidence.getBrokenArrivalsList());
        if (evidence.getLostWhole()) {
            lostWhole(fingerprint);
        }
        for (long arrival : evidence.getArrivalsList()) {
            evidence.getLeafStartsList().forEach(leafStart -> ended(fingerprint, leafStart, arrival));
        }
    }

    private boolean hasRoomFor(Fingerprint fingerprint) {
        return against.size() < MAX_WAITING || against.containsKey(fingerprint);
    }

    private Against against(Fingerprint fingerprint) {
        return against.computeIfAbsent(fingerprint, unused -> new Against());
    }

    /** What speaks against one request. */
    private static final class Against {
        private final Set<Long> leafStarts = new LinkedHashSet<>();
        private final Set<Long> arrivals = new LinkedHashSet<>(2);
        private final Set<Long> brokenArrivals = new LinkedHashSet<>(2);
        private boolean lostWhole;

        HarmEvidence toEvidence(Fingerprint fingerprint) {
            return HarmEvidence.newBuilder()
                    .setFingerprint(fingerprint.toBytes())
                    .addAllLeafStarts(leafStarts)
                    .addAllArrivals(arrivals)
                    .addAllBrokenArrivals(brokenArrivals)
                    .setLostWhole(lostWhole)
                    .build();
        }
    }
}
