package org.bramblerack.process.harm;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord;
import org.bramblerack.wire.HarmReport;
import org.bramblerack.wire.TakeTrial;

/**
 * Blocks requests that crash the leaves which run them. Combines the evidence of this host, the replicated verdicts,
 * and the evidence that is not reported yet.
 *
 * <p>Invariants: a replicated verdict takes precedence over the evidence of this host, which counts only for requests
 * without one. A request that a leaf answered recently is not suspected. All state is bounded. Not safe for use by
 * several threads.
 */
public final class HarmfulRequestFilter {
    /**
     * How long the survival of a request is remembered: other hosts may report leaves that ended a few seconds earlier.
     */
    private static final long SURVIVAL_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int MAX_SURVIVED = 4_096;
    private static final int MAX_LOCAL_TRIALS = HarmRecords.MAX_RECORDS;

    private final Map<Fingerprint, HarmRecord.Verdict> replicated = new HashMap<>();
    private final HarmRecords local = new HarmRecords();
    private final Map<Fingerprint, Long> survived = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> localTrials = new LinkedHashMap<>();
    private final UnreportedEvidence unreported = new UnreportedEvidence();
    private int replicatedRestricted;
    private int locallyRestricted;

    /** Returns whether a request may be sent to leaves. Computes its fingerprints only if any request is restricted. */
    public Permission permission(Supplier<Fingerprints> request) {
        if (!hasRestrictions()) {
            return Permission.FREE;
        }
        Fingerprints fingerprints = request.get();
        Permission exact = permission(fingerprints.exact());
        Permission path = permission(fingerprints.path());
        return exact.compareTo(path) > 0 ? exact : path;
    }

    /** Returns true if any request is quarantined or on trial. */
    public boolean hasRestrictions() {
        return replicatedRestricted + locallyRestricted > 0;
    }

    /** Returns how many requests are quarantined or on trial by the evidence of this host. */
    public int locallyRestrictedCount() {
        return locallyRestricted;
    }

    /** Returns how many requests are quarantined or on trial by replicated verdicts. */
    public int replicatedRestrictedCount() {
        return replicatedRestricted;
    }

    /**
     * Records that a leaf ended while it was running requests.
     *
     * @param leafStart identifies the incarnation of the leaf
     */
    public void recordLeafEnd(long leafStart, List<Arrival> arrivals, long nowNanos) {
        HarmReport.Builder evidence = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Arrival arrival : arrivals) {
            for (Fingerprint fingerprint : arrival.fingerprints().all()) {
                if (!survivedRecently(fingerprint, nowNanos)) {
                    unreported.addLeafEnd(fingerprint, leafStart, arrival.digest());
                    evidence.addEnded(HarmEvidence.newBuilder()
                            .setFingerprint(fingerprint.toBytes())
                            .addLeafStarts(leafStart)
                            .addArrivals(arrival.digest()));
                }
            }
        }
        applyLocally(evidence.build());
    }

    /**
     * Records that the connection of a call was lost. Alone this does not restrict the request. But a leaf may have
     * restarted before a host detects its end, and then repeated disconnects without an answer are the only evidence.
     */
    public void recordDisconnect(Arrival arrival, long nowNanos) {
        HarmReport.Builder evidence = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Fingerprint fingerprint : arrival.fingerprints().all()) {
            if (!survivedRecently(fingerprint, nowNanos)) {
                unreported.addDisconnects(fingerprint, List.of(arrival.digest()));
                evidence.addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .addBrokenArrivals(arrival.digest()));
            }
        }
        applyLocally(evidence.build());
    }

    /**
     * Records that a query over several shards lost a connection and was abandoned before a leaf of any shard had
     * answered.
     */
    public void recordNoShardAnswered(Arrival arrival, long nowNanos) {
        HarmReport.Builder evidence = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Fingerprint fingerprint : arrival.fingerprints().all()) {
            if (!survivedRecently(fingerprint, nowNanos)) {
                unreported.addNoShardAnswered(fingerprint);
                evidence.addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .setLostWhole(true));
            }
        }
        applyLocally(evidence.build());
    }

    /** Records that a leaf answered a request, with success or an error of its own. */
    public void recordSurvival(Fingerprints request, long nowNanos) {
        for (Fingerprint fingerprint : request.all()) {
            recordTime(survived, fingerprint, nowNanos, MAX_SURVIVED);
            if (isSuspect(fingerprint)) {
                clear(fingerprint);
            }
        }
    }

    /**
     * Applies replicated verdicts.
     *
     * @param isFull true if the records are the complete state rather than a change to it
     */
    public void applyReplicated(List<HarmRecord> records, boolean isFull, long nowNanos) {
        if (isFull) {
            replicated.clear();
        }
        for (HarmRecord record : records) {
            Fingerprint.fromBytes(record.getFingerprint())
                    .ifPresent(fingerprint -> applyReplicated(fingerprint, record.getVerdict(), nowNanos));
        }
        replicatedRestricted = (int) replicated.values().stream()
                .filter(verdict -> verdict != HarmRecord.Verdict.SUSPECTED)
                .count();
    }

    /** Applies the evidence of another host, where hosts exchange it directly and nothing is replicated. */
    public void applyPeerReport(HarmReport report, long nowNanos) {
        applyLocally(report.toBuilder()
                .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                .build());
        for (HarmEvidence evidence : report.getEndedList()) {
            Fingerprint.fromBytes(evidence.getFingerprint())
                    .filter(fingerprint -> survivedRecently(fingerprint, nowNanos))
                    .ifPresent(this::clear);
        }
    }

    /**
     * Starts a trial of an arrival without the control hosts, for a host that cannot reach them. Returns false if
     * another arrival is on trial here.
     */
    public boolean tryStartLocalTrial(Arrival arrival, long nowNanos) {
        Fingerprints request = arrival.fingerprints();
        if (request.all().stream().anyMatch(fingerprint -> localTrialRunning(fingerprint, nowNanos))) {
            return false;
        }
        boolean granted = local.tryStartTrial(newTrialRequest(arrival)
                .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                .build());
        if (granted) {
            request.all().forEach(fingerprint -> recordTime(localTrials, fingerprint, nowNanos, MAX_LOCAL_TRIALS));
        }
        return granted;
    }

    /**
     * Ends a trial; its outcome follows from the recorded answers.
     *
     * @param disconnected true if the request reached a leaf and its connection was lost
     * @return the message for the control hosts, without the time
     */
    public TakeTrial.Builder endTrial(Arrival arrival, boolean disconnected, long nowNanos) {
        List<Fingerprint> request = arrival.fingerprints().all();
        request.forEach(localTrials::remove);
        TakeTrial.Builder trial =
                newTrialRequest(arrival).setGivenBack(true).setOutcome(outcome(request, disconnected, nowNanos));
        local.endTrial(
                trial.clone()
                        .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                        .build(),
                0);
        locallyRestricted = local.restrictedCount();
        return trial;
    }

    private TakeTrial.Outcome outcome(List<Fingerprint> request, boolean disconnected, long nowNanos) {
        if (request.stream().allMatch(fingerprint -> survivedRecently(fingerprint, nowNanos))) {
            return TakeTrial.Outcome.ANSWERED;
        }
        boolean isEvidence =
                disconnected && request.stream().noneMatch(fingerprint -> survivedRecently(fingerprint, nowNanos));
        return isEvidence ? TakeTrial.Outcome.BROKEN : TakeTrial.Outcome.OUTCOME_UNSPECIFIED;
    }

    /** Returns a request for a trial of an arrival, without the time. */
    public static TakeTrial.Builder newTrialRequest(Arrival arrival) {
        TakeTrial.Builder trial = TakeTrial.newBuilder().setArrival(arrival.digest());
        arrival.fingerprints().all().forEach(fingerprint -> trial.addFingerprints(fingerprint.toBytes()));
        return trial;
    }

    /** Tracked apart from the local records, since the request may be known only from another host. */
    private boolean localTrialRunning(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = localTrials.get(fingerprint);
        return atNanos != null && nowNanos - atNanos < TimeUnit.MILLISECONDS.toNanos(HarmRecords.TRIAL_MILLIS);
    }

    /** Records the time of an event of a request, and evicts the oldest entries beyond the bound. */
    private static void recordTime(Map<Fingerprint, Long> times, Fingerprint fingerprint, long nowNanos, int bound) {
        times.remove(fingerprint);
        times.put(fingerprint, nowNanos);
        Iterator<Fingerprint> oldestFirst = times.keySet().iterator();
        for (int excess = times.size() - bound; excess > 0; excess--) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /**
     * Removes and returns the evidence to be reported, if any; {@link #restoreReport} undoes this if the report fails.
     */
    public Optional<HarmReport> takeReport() {
        return unreported.takeReport();
    }

    /** Adopts the evidence of a host that cannot reach the control hosts, to report it on its behalf. */
    public void adoptReport(HarmReport report, long nowNanos) {
        unreported.restore(report);
        applyPeerReport(report, nowNanos);
    }

    /** Restores the evidence of a report that failed, so that it is reported again. */
    public void restoreReport(HarmReport report) {
        unreported.restore(report);
    }

    private Permission permission(Fingerprint fingerprint) {
        HarmRecord.Verdict verdict = replicated.get(fingerprint);
        if (verdict == null) {
            verdict = local.verdict(fingerprint).orElse(HarmRecord.Verdict.CLEARED);
        }
        return switch (verdict) {
            case BARRED -> Permission.QUARANTINED;
            case ON_TRIAL -> Permission.ON_TRIAL;
            default -> Permission.FREE;
        };
    }

    private void applyReplicated(Fingerprint fingerprint, HarmRecord.Verdict verdict, long nowNanos) {
        if (!isRestrictive(verdict)) {
            replicated.remove(fingerprint);
            applyLocally(
                    HarmReport.newBuilder().addSurvived(fingerprint.toBytes()).build());
            return;
        }
        replicated.put(fingerprint, verdict);
        if (survivedRecently(fingerprint, nowNanos)) {
            clear(fingerprint);
        }
    }

    private boolean isSuspect(Fingerprint fingerprint) {
        return replicated.containsKey(fingerprint)
                || local.verdict(fingerprint)
                        .filter(HarmfulRequestFilter::isRestrictive)
                        .isPresent();
    }

    private static boolean isRestrictive(HarmRecord.Verdict verdict) {
        return switch (verdict) {
            case SUSPECTED, ON_TRIAL, BARRED -> true;
            default -> false;
        };
    }

    private boolean survivedRecently(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = survived.get(fingerprint);
        return atNanos != null && nowNanos - atNanos <= SURVIVAL_RETENTION_NANOS;
    }

    private void clear(Fingerprint fingerprint) {
        unreported.clear(fingerprint);
        applyLocally(HarmReport.newBuilder().addSurvived(fingerprint.toBytes()).build());
    }

    private void applyLocally(HarmReport report) {
        local.applyReport(report, 0);
        locallyRestricted = local.restrictedCount();
    }
}
