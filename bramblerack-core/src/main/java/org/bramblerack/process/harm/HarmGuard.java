package org.bramblerack.process.harm;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord;
import org.bramblerack.wire.HarmReport;

/**
 * Keeps requests from leafs that end the leafs which run them: what this host saw of that, what all hosts agreed on,
 * and what is still to be told.
 *
 * <p>Invariants: what all agreed on goes before what this host makes of its own evidence, which counts only as long as
 * nothing is agreed of a request. A request that a leaf answered a moment ago is not accused. As long as no leaf ended
 * under any request, nothing is worked out for a request. Not safe for use by several threads.
 */
public final class HarmGuard {
    /**
     * How long a survived request is remembered: hosts that saw another part of it tell of leafs that ended after at
     * most a few seconds.
     */
    private static final long SURVIVED_NANOS = Duration.ofSeconds(10).toNanos();
    /** How many survived requests are remembered: some seconds' worth of the most that a host is planned for. */
    private static final int MAX_SURVIVED = 4_096;
    /** How many ends wait to be told; beyond that, what is new is left to other hosts, that see it as well. */
    private static final int MAX_PENDING_ENDS = 4_096;
    /** How many ends and fingerprints go into one report: about 10 KB. */
    private static final int MAX_REPORTED = 512;

    private final Map<Fingerprint, HarmRecord.Verdict> agreed = new HashMap<>();
    private final HarmRecords own = new HarmRecords();
    private final LinkedHashMap<Fingerprint, Long> survived = new LinkedHashMap<>();
    private final Map<Fingerprint, Set<Long>> pendingEnds = new LinkedHashMap<>();
    private final Set<Fingerprint> pendingSurvived = new LinkedHashSet<>();
    private int pendingEndCount;
    private int agreedBarred;
    private int ownBarred;

    /** Returns true if a request is to be sent to no leaf. */
    public boolean isBarred(Supplier<Fingerprints> request) {
        if (agreedBarred + ownBarred == 0) {
            return false;
        }
        Fingerprints fingerprints = request.get();
        return isBarred(fingerprints.exact()) || isBarred(fingerprints.path());
    }

    /** Returns how many requests are barred by agreement, for a figure. */
    public int barredCount() {
        return agreedBarred;
    }

    /**
     * Notes that a leaf ended with requests on it.
     *
     * @param leafStart tells this start of the leaf from others
     */
    public void ended(long leafStart, List<Fingerprints> onIt, long nowNanos) {
        HarmReport.Builder seen = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Fingerprints request : onIt) {
            for (Fingerprint fingerprint : request.all()) {
                if (!survivedOfLate(fingerprint, nowNanos)) {
                    tellEnd(fingerprint, leafStart);
                    seen.addEnded(HarmEvidence.newBuilder()
                            .setFingerprint(fingerprint.toBytes())
                            .addLeafStarts(leafStart));
                }
            }
        }
        takeOwn(seen.build());
    }

    /** Notes that a leaf answered a request, with success or a failure of its own. */
    public void survived(Fingerprints request, long nowNanos) {
        for (Fingerprint fingerprint : request.all()) {
            survived.remove(fingerprint);
            survived.put(fingerprint, nowNanos);
            if (agreed.containsKey(fingerprint)
                    || own.verdict(fingerprint).filter(HarmGuard::accuses).isPresent()) {
                acquit(fingerprint);
            }
        }
        if (survived.size() > MAX_SURVIVED) {
            Iterator<Fingerprint> oldestFirst = survived.keySet().iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /**
     * Takes what was agreed on.
     *
     * @param whole true if what the records lack is not held any more
     */
    public void learn(List<HarmRecord> records, boolean whole, long nowNanos) {
        if (whole) {
            agreed.clear();
        }
        for (HarmRecord record : records) {
            Fingerprint.fromBytes(record.getFingerprint())
                    .ifPresent(fingerprint -> learn(fingerprint, record.getVerdict(), nowNanos));
        }
        agreedBarred = (int) agreed.values().stream()
                .filter(verdict -> verdict == HarmRecord.Verdict.BARRED)
                .count();
    }

    /** Takes what is to be told, if anything is; it counts as told unless it is handed back. */
    public Optional<HarmReport> takeReport() {
        if (pendingEnds.isEmpty() && pendingSurvived.isEmpty()) {
            return Optional.empty();
        }
        HarmReport.Builder report = HarmReport.newBuilder();
        int size = 0;
        Iterator<Fingerprint> acquitted = pendingSurvived.iterator();
        while (acquitted.hasNext() && size < MAX_REPORTED) {
            report.addSurvived(acquitted.next().toBytes());
            acquitted.remove();
            size++;
        }
        Iterator<Map.Entry<Fingerprint, Set<Long>>> accused =
                pendingEnds.entrySet().iterator();
        while (accused.hasNext() && size < MAX_REPORTED) {
            Map.Entry<Fingerprint, Set<Long>> next = accused.next();
            report.addEnded(HarmEvidence.newBuilder()
                    .setFingerprint(next.getKey().toBytes())
                    .addAllLeafStarts(next.getValue()));
            size += next.getValue().size() + 1;
            pendingEndCount -= next.getValue().size();
            accused.remove();
        }
        return Optional.of(report.build());
    }

    /** Takes back a report that was not agreed on, to make it again. */
    public void handBack(HarmReport report) {
        for (HarmEvidence evidence : report.getEndedList()) {
            Fingerprint.fromBytes(evidence.getFingerprint())
                    .ifPresent(fingerprint ->
                            evidence.getLeafStartsList().forEach(leafStart -> tellEnd(fingerprint, leafStart)));
        }
        report.getSurvivedList().forEach(bytes -> Fingerprint.fromBytes(bytes).ifPresent(pendingSurvived::add));
    }

    private boolean isBarred(Fingerprint fingerprint) {
        HarmRecord.Verdict verdict = agreed.get(fingerprint);
        if (verdict != null) {
            return verdict == HarmRecord.Verdict.BARRED;
        }
        return own.verdict(fingerprint)
                .filter(seen -> seen == HarmRecord.Verdict.BARRED)
                .isPresent();
    }

    private void learn(Fingerprint fingerprint, HarmRecord.Verdict verdict, long nowNanos) {
        if (!accuses(verdict)) {
            agreed.remove(fingerprint);
            takeOwn(HarmReport.newBuilder().addSurvived(fingerprint.toBytes()).build());
            return;
        }
        agreed.put(fingerprint, verdict);
        if (survivedOfLate(fingerprint, nowNanos)) {
            acquit(fingerprint);
        }
    }

    private static boolean accuses(HarmRecord.Verdict verdict) {
        return verdict == HarmRecord.Verdict.BARRED || verdict == HarmRecord.Verdict.SUSPECTED;
    }

    private boolean survivedOfLate(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = survived.get(fingerprint);
        return atNanos != null && nowNanos - atNanos <= SURVIVED_NANOS;
    }

    private void acquit(Fingerprint fingerprint) {
        pendingSurvived.add(fingerprint);
        Set<Long> untold = pendingEnds.remove(fingerprint);
        pendingEndCount -= untold == null ? 0 : untold.size();
        takeOwn(HarmReport.newBuilder().addSurvived(fingerprint.toBytes()).build());
    }

    private void tellEnd(Fingerprint fingerprint, long leafStart) {
        if (pendingEndCount < MAX_PENDING_ENDS
                && pendingEnds
                        .computeIfAbsent(fingerprint, unused -> new LinkedHashSet<>())
                        .add(leafStart)) {
            pendingEndCount++;
        }
    }

    private void takeOwn(HarmReport report) {
        own.take(report, 0);
        ownBarred = own.barredCount();
    }
}
