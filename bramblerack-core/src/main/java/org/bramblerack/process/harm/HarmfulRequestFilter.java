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
 * Keeps requests from leafs that end the leafs which run them: what this host saw of that, what all hosts agreed on,
 * and what is still to be told.
 *
 * <p>Invariants: what all agreed on goes before what this host makes of its own evidence, which counts only as long as
 * nothing is agreed of a request. A request that a leaf answered a moment ago is not accused. What is kept is bounded.
 * Not safe for use by several threads.
 */
public final class HarmfulRequestFilter {
    /**
     * How long a survived request is remembered: hosts that saw another part of it tell of leafs that ended after at
     * most a few seconds.
     */
    private static final long SURVIVAL_RETENTION_NANOS = Duration.ofSeconds(10).toNanos();
    /**
     * How many survived requests are remembered: 25 s' worth of the 160 queries a second of an entry host of the
     * planned size. One that holds leafs for others answers more, and remembers less than the time above.
     */
    private static final int MAX_SURVIVED = 4_096;
    /** How many requests are remembered that were tried by the word of this host alone: as many as are on trial. */
    private static final int MAX_LOCAL_TRIALS = HarmRecords.MAX_RECORDS;

    private final Map<Fingerprint, HarmRecord.Verdict> replicated = new HashMap<>();
    private final HarmRecords local = new HarmRecords();
    private final Map<Fingerprint, Long> survived = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> localTrials = new LinkedHashMap<>();
    private final UnreportedEvidence unreported = new UnreportedEvidence();
    private int replicatedRestricted;
    private int locallyRestricted;

    /** Returns whether a request may be sent to leafs; works its fingerprints out only if any request may not. */
    public Permission permission(Supplier<Fingerprints> request) {
        if (!hasRestrictions()) {
            return Permission.FREE;
        }
        Fingerprints fingerprints = request.get();
        Permission exact = permission(fingerprints.exact());
        Permission path = permission(fingerprints.path());
        return exact.compareTo(path) > 0 ? exact : path;
    }

    /** Returns true if any request may not be sent to leafs freely. */
    public boolean hasRestrictions() {
        return replicatedRestricted + locallyRestricted > 0;
    }

    /** Returns how many requests are barred or on trial by the evidence that this host has, for a log line. */
    public int locallyRestrictedCount() {
        return locallyRestricted;
    }

    /** Returns how many requests are barred or on trial by agreement, for a log line. */
    public int replicatedRestrictedCount() {
        return replicatedRestricted;
    }

    /**
     * Notes that a leaf ended with requests on it.
     *
     * @param leafStart tells this start of the leaf from others
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
     * Notes that a call was sent and broke. That bars nothing by itself, but leafs may be back before a host has found
     * that they ended; then arrivals that broke, and none that was answered, are all that shows.
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

    /** Notes that a query over several shards broke and was given up before a leaf of any shard had answered it. */
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

    /** Notes that a leaf answered a request, with success or a failure of its own. */
    public void recordSurvival(Fingerprints request, long nowNanos) {
        for (Fingerprint fingerprint : request.all()) {
            recordTime(survived, fingerprint, nowNanos, MAX_SURVIVED);
            if (isSuspect(fingerprint)) {
                clear(fingerprint);
            }
        }
    }

    /**
     * Takes what was agreed on.
     *
     * @param isFull true if what the records lack is not held any more
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

    /** Takes what another host saw, where hosts tell one another and nothing is agreed. */
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
     * Has an arrival of a request tried by the word of this host alone, unless another is: for a host to which control
     * gives no answer.
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
     * Ends a trial; whether a leaf answered it is known here.
     *
     * @param disconnected true if it reached a leaf and its call broke there
     * @return what to tell control, without the time
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

    /** Returns the question whether an arrival may be tried, without the time. */
    public static TakeTrial.Builder newTrialRequest(Arrival arrival) {
        TakeTrial.Builder trial = TakeTrial.newBuilder().setArrival(arrival.digest());
        arrival.fingerprints().all().forEach(fingerprint -> trial.addFingerprints(fingerprint.toBytes()));
        return trial;
    }

    /** Another host may have told of the request, so that there is no evidence of this host's own to hold the time. */
    private boolean localTrialRunning(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = localTrials.get(fingerprint);
        return atNanos != null && nowNanos - atNanos < TimeUnit.MILLISECONDS.toNanos(HarmRecords.TRIAL_MILLIS);
    }

    /** Notes the time of what was done with a request, and forgets what was noted first beyond a bound. */
    private static void recordTime(Map<Fingerprint, Long> times, Fingerprint fingerprint, long nowNanos, int bound) {
        times.remove(fingerprint);
        times.put(fingerprint, nowNanos);
        Iterator<Fingerprint> oldestFirst = times.keySet().iterator();
        for (int excess = times.size() - bound; excess > 0; excess--) {
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    /** Takes what is to be told, if anything is; it counts as told unless it is handed back. */
    public Optional<HarmReport> takeReport() {
        return unreported.takeReport();
    }

    /** Takes over what a host saw to which control gives no answer, to tell it in that host's place. */
    public void adoptReport(HarmReport report, long nowNanos) {
        unreported.restore(report);
        applyPeerReport(report, nowNanos);
    }

    /** Takes back a report that was not agreed on, to make it again. */
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
