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
    private static final long SURVIVED_NANOS = Duration.ofSeconds(10).toNanos();
    /**
     * How many survived requests are remembered: 25 s' worth of the 160 queries a second of an entry host of the
     * planned size. One that holds leafs for others answers more, and remembers less than the time above.
     */
    private static final int MAX_SURVIVED = 4_096;
    /** How many requests are remembered that were tried by the word of this host alone: as many as are on trial. */
    private static final int MAX_TRIED_ALONE = HarmRecords.MAX_RECORDS;

    private final Map<Fingerprint, HarmRecord.Verdict> agreed = new HashMap<>();
    private final HarmRecords own = new HarmRecords();
    private final Map<Fingerprint, Long> recordSurvival = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> triedAlone = new LinkedHashMap<>();
    private final UnreportedEvidence untold = new UnreportedEvidence();
    private int agreedRestricted;
    private int ownRestricted;

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
        return agreedRestricted + ownRestricted > 0;
    }

    /** Returns how many requests are barred or on trial by the evidence that this host has, for a log line. */
    public int locallyRestrictedCount() {
        return ownRestricted;
    }

    /** Returns how many requests are barred or on trial by agreement, for a log line. */
    public int replicatedRestrictedCount() {
        return agreedRestricted;
    }

    /**
     * Notes that a leaf ended with requests on it.
     *
     * @param leafStart tells this start of the leaf from others
     */
    public void recordLeafEnd(long leafStart, List<Arrival> onIt, long nowNanos) {
        HarmReport.Builder seen = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Arrival arrival : onIt) {
            for (Fingerprint fingerprint : arrival.fingerprints().all()) {
                if (!survivedOfLate(fingerprint, nowNanos)) {
                    untold.ended(fingerprint, leafStart, arrival.digest());
                    seen.addEnded(HarmEvidence.newBuilder()
                            .setFingerprint(fingerprint.toBytes())
                            .addLeafStarts(leafStart)
                            .addArrivals(arrival.digest()));
                }
            }
        }
        takeOwn(seen.build());
    }

    /**
     * Notes that a call was sent and broke. That bars nothing by itself, but leafs may be back before a host has found
     * that they ended; then arrivals that broke, and none that was answered, are all that shows.
     */
    public void recordDisconnect(Arrival arrival, long nowNanos) {
        HarmReport.Builder seen = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Fingerprint fingerprint : arrival.fingerprints().all()) {
            if (!survivedOfLate(fingerprint, nowNanos)) {
                untold.broke(fingerprint, List.of(arrival.digest()));
                seen.addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .addBrokenArrivals(arrival.digest()));
            }
        }
        takeOwn(seen.build());
    }

    /** Notes that a query over several shards broke and was given up before a leaf of any shard had answered it. */
    public void recordNoShardAnswered(Arrival arrival, long nowNanos) {
        HarmReport.Builder seen = HarmReport.newBuilder().setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos));
        for (Fingerprint fingerprint : arrival.fingerprints().all()) {
            if (!survivedOfLate(fingerprint, nowNanos)) {
                untold.lostWhole(fingerprint);
                seen.addEnded(HarmEvidence.newBuilder()
                        .setFingerprint(fingerprint.toBytes())
                        .setLostWhole(true));
            }
        }
        takeOwn(seen.build());
    }

    /** Notes that a leaf answered a request, with success or a failure of its own. */
    public void recordSurvival(Fingerprints request, long nowNanos) {
        for (Fingerprint fingerprint : request.all()) {
            noteLast(recordSurvival, fingerprint, nowNanos, MAX_SURVIVED);
            if (isAccused(fingerprint)) {
                acquit(fingerprint);
            }
        }
    }

    /**
     * Takes what was agreed on.
     *
     * @param whole true if what the records lack is not held any more
     */
    public void applyReplicated(List<HarmRecord> records, boolean whole, long nowNanos) {
        if (whole) {
            agreed.clear();
        }
        for (HarmRecord record : records) {
            Fingerprint.fromBytes(record.getFingerprint())
                    .ifPresent(fingerprint -> applyReplicated(fingerprint, record.getVerdict(), nowNanos));
        }
        agreedRestricted = (int) agreed.values().stream()
                .filter(verdict -> verdict != HarmRecord.Verdict.SUSPECTED)
                .count();
    }

    /** Takes what another host saw, where hosts tell one another and nothing is agreed. */
    public void applyPeerReport(HarmReport report, long nowNanos) {
        takeOwn(report.toBuilder()
                .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                .build());
        for (HarmEvidence evidence : report.getEndedList()) {
            Fingerprint.fromBytes(evidence.getFingerprint())
                    .filter(fingerprint -> survivedOfLate(fingerprint, nowNanos))
                    .ifPresent(this::acquit);
        }
    }

    /**
     * Has an arrival of a request tried by the word of this host alone, unless another is: for a host to which control
     * gives no answer.
     */
    public boolean tryStartLocalTrial(Arrival arrival, long nowNanos) {
        Fingerprints request = arrival.fingerprints();
        if (request.all().stream().anyMatch(fingerprint -> triedOfLate(fingerprint, nowNanos))) {
            return false;
        }
        boolean granted = own.tryStartTrial(newTrialRequest(arrival)
                .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                .build());
        if (granted) {
            request.all().forEach(fingerprint -> noteLast(triedAlone, fingerprint, nowNanos, MAX_TRIED_ALONE));
        }
        return granted;
    }

    /**
     * Ends a trial; whether a leaf answered it is known here.
     *
     * @param broke true if it reached a leaf and its call broke there
     * @return what to tell control, without the time
     */
    public TakeTrial.Builder endTrial(Arrival arrival, boolean broke, long nowNanos) {
        List<Fingerprint> request = arrival.fingerprints().all();
        request.forEach(triedAlone::remove);
        TakeTrial.Builder trial =
                newTrialRequest(arrival).setGivenBack(true).setOutcome(outcome(request, broke, nowNanos));
        own.endTrial(
                trial.clone()
                        .setAtMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos))
                        .build(),
                0);
        ownRestricted = own.restrictedCount();
        return trial;
    }

    private TakeTrial.Outcome outcome(List<Fingerprint> request, boolean broke, long nowNanos) {
        if (request.stream().allMatch(fingerprint -> survivedOfLate(fingerprint, nowNanos))) {
            return TakeTrial.Outcome.ANSWERED;
        }
        boolean accuses = broke && request.stream().noneMatch(fingerprint -> survivedOfLate(fingerprint, nowNanos));
        return accuses ? TakeTrial.Outcome.BROKEN : TakeTrial.Outcome.OUTCOME_UNSPECIFIED;
    }

    /** Returns the question whether an arrival may be tried, without the time. */
    public static TakeTrial.Builder newTrialRequest(Arrival arrival) {
        TakeTrial.Builder trial = TakeTrial.newBuilder().setArrival(arrival.digest());
        arrival.fingerprints().all().forEach(fingerprint -> trial.addFingerprints(fingerprint.toBytes()));
        return trial;
    }

    /** Another host may have told of the request, so that there is no evidence of this host's own to hold the time. */
    private boolean triedOfLate(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = triedAlone.get(fingerprint);
        return atNanos != null && nowNanos - atNanos < TimeUnit.MILLISECONDS.toNanos(HarmRecords.TRIAL_MILLIS);
    }

    /** Notes the time of what was done with a request, and forgets what was noted first beyond a bound. */
    private static void noteLast(Map<Fingerprint, Long> times, Fingerprint fingerprint, long nowNanos, int bound) {
        times.remove(fingerprint);
        times.put(fingerprint, nowNanos);
        Iterator<Fingerprint> firstNoted = times.keySet().iterator();
        for (int excess = times.size() - bound; excess > 0; excess--) {
            firstNoted.next();
            firstNoted.remove();
        }
    }

    /** Takes what is to be told, if anything is; it counts as told unless it is handed back. */
    public Optional<HarmReport> takeReport() {
        return untold.takeReport();
    }

    /** Takes over what a host saw to which control gives no answer, to tell it in that host's place. */
    public void adoptReport(HarmReport report, long nowNanos) {
        untold.handBack(report);
        applyPeerReport(report, nowNanos);
    }

    /** Takes back a report that was not agreed on, to make it again. */
    public void restoreReport(HarmReport report) {
        untold.handBack(report);
    }

    private Permission permission(Fingerprint fingerprint) {
        HarmRecord.Verdict verdict = agreed.get(fingerprint);
        if (verdict == null) {
            verdict = own.verdict(fingerprint).orElse(HarmRecord.Verdict.CLEARED);
        }
        return switch (verdict) {
            case BARRED -> Permission.QUARANTINED;
            case ON_TRIAL -> Permission.ON_TRIAL;
            default -> Permission.FREE;
        };
    }

    private void applyReplicated(Fingerprint fingerprint, HarmRecord.Verdict verdict, long nowNanos) {
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

    private boolean isAccused(Fingerprint fingerprint) {
        return agreed.containsKey(fingerprint)
                || own.verdict(fingerprint)
                        .filter(HarmfulRequestFilter::accuses)
                        .isPresent();
    }

    private static boolean accuses(HarmRecord.Verdict verdict) {
        return switch (verdict) {
            case SUSPECTED, ON_TRIAL, BARRED -> true;
            default -> false;
        };
    }

    private boolean survivedOfLate(Fingerprint fingerprint, long nowNanos) {
        Long atNanos = recordSurvival.get(fingerprint);
        return atNanos != null && nowNanos - atNanos <= SURVIVED_NANOS;
    }

    private void acquit(Fingerprint fingerprint) {
        untold.survived(fingerprint);
        takeOwn(HarmReport.newBuilder().addSurvived(fingerprint.toBytes()).build());
    }

    private void takeOwn(HarmReport report) {
        own.applyReport(report, 0);
        ownRestricted = own.restrictedCount();
    }
}
