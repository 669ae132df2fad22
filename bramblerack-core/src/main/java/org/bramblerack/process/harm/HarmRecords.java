package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord;
import org.bramblerack.wire.HarmReport;
import org.bramblerack.wire.TakeTrial;

/**
 * The evidence against requests that may crash leaves, and the verdicts that follow: which requests are on trial or
 * quarantined. A leaf ends when its process terminates.
 *
 * <p>A request is quarantined only if leaves ended while they ran it and none has answered it since, and if either
 * {@link #ENDS_TO_QUARANTINE} leaves ended or {@link #ARRIVALS_TO_QUARANTINE} arrivals were lost. This can also happen
 * to an innocent request, if all leaves fail at once or it runs beside a harmful one. A harmful request, however, ends
 * leaves again when it is repeated later, and the ends seen with an innocent request are explained by a harmful one.
 * Until that is known, a request is on trial: at most one arrival, over all hosts, may run at a time. The verdicts are
 * computed anew after each report. The number of records and of ends is bounded. No clock is read: reports carry the
 * time. Not safe for use by several threads.
 */
public final class HarmRecords {
    /**
     * How many leaves must end before a request is quarantined. One end may be a coincidence, and two may be one
     * request that was retried.
     */
    public static final int ENDS_TO_QUARANTINE = 3;

    /**
     * How many ends put a request on trial: one fewer than for quarantine, since the only host that detected an end may
     * be unreachable. A query that no shard answered is on trial from the first end on, since its host abandoned the
     * other calls and could not detect further ends.
     */
    public static final int ENDS_TO_TRIAL = 2;

    /**
     * How many lost arrivals quarantine a request; most callers retry only once. An arrival is lost if its leaf ended
     * or its connection was lost during a call. Connections count only if the end of a leaf was detected as well.
     */
    static final int ARRIVALS_TO_QUARANTINE = 3;
    /**
     * How long a trial blocks other arrivals: long enough for the leaf to run the request and for the result to be
     * reported, within 100 ms, and replicated, within 300 ms.
     */
    static final long TRIAL_MILLIS = 1_500;
    /**
     * The minimum time between the first and the latest evidence before a request is quarantined. Evidence from one
     * moment may stem from one failure of many leaves.
     */
    static final long MIN_SPREAD_MILLIS = 1_000;
    /** The maximum number of arrivals per request that are distinguished. */
    static final int MAX_ARRIVALS = 8;

    static final int MAX_RECORDS = 1_024;
    /** The maximum number of ends per request: enough for every leaf of the largest index, twice. */
    static final int MAX_ENDS = 1_024;

    static final int MAX_TOTAL_ENDS = 16_384;
    /** How long evidence counts against a request that is not quarantined. */
    static final long SUSPECT_RETENTION_MILLIS = 10L * 60 * 1_000;
    /** How long a request stays quarantined after the latest evidence. */
    static final long QUARANTINE_MILLIS = 60L * 60 * 1_000;

    private final Map<Fingerprint, SuspectRequest> records = new LinkedHashMap<>();
    private long clockMillis;
    private long lastNumber;

    /**
     * Applies a report.
     *
     * @param revision the revision of verdicts that change
     * @return true if a verdict changed, so that hosts have to be notified
     */
    public boolean applyReport(HarmReport report, long revision) {
        clockMillis = Math.max(clockMillis, report.getAtMillis());
        report.getEndedList()
                .forEach(evidence -> Fingerprint.fromBytes(evidence.getFingerprint())
                        .ifPresent(fingerprint -> add(fingerprint, evidence)));
        report.getSurvivedList().forEach(bytes -> Fingerprint.fromBytes(bytes).ifPresent(this::clear));
        expireOld();
        updateVerdicts();
        boundSize();
        return publishVerdicts(revision);
    }

    /**
     * Starts a trial of an arrival, unless another one is running; returns true if the arrival may be sent to leaves.
     */
    public boolean tryStartTrial(TakeTrial trial) {
        clockMillis = Math.max(clockMillis, trial.getAtMillis());
        List<SuspectRequest> onTrial = new ArrayList<>(2);
        for (ByteString bytes : trial.getFingerprintsList()) {
            // A cleared request needs no trial: the host that requests one has not received the verdict yet.
            Fingerprint.fromBytes(bytes)
                    .map(records::get)
                    .filter(request -> !request.isCleared())
                    .ifPresent(onTrial::add);
        }
        boolean free =
                onTrial.stream().noneMatch(request -> request.isQuarantined() || request.isTrialRunning(clockMillis));
        if (free) {
            onTrial.forEach(request -> request.grantTrial(trial.getArrival(), clockMillis + TRIAL_MILLIS));
        }
        return free;
    }

    /**
     * Ends the trial of an arrival and applies its outcome in the same step, so that the next arrival may start at
     * once: a harmful request is quarantined without further trials, and an answered one is cleared before its host's
     * next report.
     *
     * @param revision the revision of verdicts that change
     * @return true if a verdict changed, so that hosts have to be notified
     */
    public boolean endTrial(TakeTrial trial, long revision) {
        clockMillis = Math.max(clockMillis, trial.getAtMillis());
        for (ByteString bytes : trial.getFingerprintsList()) {
            Fingerprint.fromBytes(bytes)
                    .map(records::get)
                    .filter(request -> request.endTrial(trial.getArrival()))
                    .ifPresent(request -> applyTrialOutcome(request, trial));
        }
        updateVerdicts();
        return publishVerdicts(revision);
    }

    private void applyTrialOutcome(SuspectRequest request, TakeTrial trial) {
        if (trial.getOutcome() == TakeTrial.Outcome.ANSWERED) {
            request.clear(clockMillis);
        } else if (trial.getOutcome() == TakeTrial.Outcome.BROKEN) {
            request.add(
                    HarmEvidence.newBuilder()
                            .addBrokenArrivals(trial.getArrival())
                            .build(),
                    clockMillis);
        }
    }

    /** Returns true if a report contains anything new. */
    public boolean wouldChange(HarmReport report) {
        return report.getEndedList().stream().anyMatch(this::hasNewEvidence)
                || report.getSurvivedList().stream()
                        .anyMatch(bytes -> Fingerprint.fromBytes(bytes)
                                .map(records::get)
                                .filter(request -> request.verdict() != HarmRecord.Verdict.CLEARED)
                                .isPresent());
    }

    /** Returns the published verdict on a request, if there is a record of it. */
    public Optional<HarmRecord.Verdict> verdict(Fingerprint fingerprint) {
        return Optional.ofNullable(records.get(fingerprint)).map(SuspectRequest::verdict);
    }

    /** Returns how many requests are quarantined or on trial. */
    public int restrictedCount() {
        return (int) records.values().stream()
                .filter(request -> request.isQuarantined() || request.isOnTrial())
                .count();
    }

    /** Returns the records whose verdict changed after a revision, without the evidence, for hosts that follow. */
    public ImmutableList<HarmRecord> changedSince(long revision) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().changedRevision() > revision)
                .map(entry -> entry.getValue().toRecord(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the complete records, for a snapshot. */
    public ImmutableList<HarmRecord> all() {
        return records.entrySet().stream()
                .map(entry -> entry.getValue().toSnapshot(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the latest time in any report. */
    public long clockMillis() {
        return clockMillis;
    }

    /** Returns the number of the record that was created last. */
    public long lastNumber() {
        return lastNumber;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(List<HarmRecord> snapshot, long snapshotClockMillis, long snapshotLastNumber) {
        records.clear();
        clockMillis = snapshotClockMillis;
        lastNumber = snapshotLastNumber;
        for (HarmRecord record : snapshot) {
            Fingerprint.fromBytes(record.getFingerprint())
                    .ifPresent(fingerprint -> records.put(fingerprint, SuspectRequest.of(record)));
        }
    }

    private boolean hasNewEvidence(HarmEvidence evidence) {
        return Fingerprint.fromBytes(evidence.getFingerprint())
                .map(records::get)
                .map(request -> request.hasNewEvidence(evidence))
                .orElse(true);
    }

    private void add(Fingerprint fingerprint, HarmEvidence evidence) {
        records.computeIfAbsent(fingerprint, unused -> new SuspectRequest(++lastNumber))
                .add(evidence, clockMillis);
    }

    private void clear(Fingerprint fingerprint) {
        SuspectRequest request = records.get(fingerprint);
        if (request != null) {
            request.clear(clockMillis);
        }
    }

    /**
     * Recomputes which requests are quarantined, those with the most ends first. Ties go to the record that was created
     * first, and thus to the narrower fingerprint of a request.
     */
    private void updateVerdicts() {
        Set<Long> explained = new HashSet<>();
        List<SuspectRequest> candidates = new ArrayList<>();
        for (SuspectRequest request : records.values()) {
            request.setRestriction(false, needsTrial(request));
            if (request.endCount() > 0) {
                candidates.add(request);
            }
        }
        candidates.sort(Comparator.comparingInt((SuspectRequest request) -> -request.endCount())
                .thenComparingLong(SuspectRequest::number));
        for (SuspectRequest request : candidates) {
            if (isHarmful(request, explained)) {
                request.setRestriction(true, true);
                explained.addAll(request.leafStarts());
            }
        }
    }

    private static boolean needsTrial(SuspectRequest request) {
        return request.endCount() >= ENDS_TO_TRIAL
                || request.lostArrivalCount() >= ENDS_TO_TRIAL
                || (request.hadNoShardAnswered() && request.endCount() > 0);
    }

    /**
     * Returns true if a request ends leaves that no other quarantined request explains, or if too many arrivals were
     * lost.
     */
    private static boolean isHarmful(SuspectRequest request, Set<Long> explained) {
        if (request.spreadMillis() < MIN_SPREAD_MILLIS) {
            return false;
        }
        if (request.lostArrivalCount() >= ARRIVALS_TO_QUARANTINE) {
            return true;
        }
        long unexplained = request.leafStarts().stream()
                .filter(leafStart -> !explained.contains(leafStart))
                .count();
        return unexplained >= ENDS_TO_QUARANTINE && request.arrivalCount() > 1;
    }

    private void expireOld() {
        for (SuspectRequest request : records.values()) {
            long retentionMillis = request.isQuarantined() ? QUARANTINE_MILLIS : SUSPECT_RETENTION_MILLIS;
            if (!request.isCleared() && clockMillis - request.lastEvidenceMillis() > retentionMillis) {
                request.clear(clockMillis);
            }
        }
        records.values()
                .removeIf(request ->
                        request.isCleared() && clockMillis - request.lastEvidenceMillis() > SUSPECT_RETENTION_MILLIS);
    }

    /**
     * Evicts records beyond the bounds: cleared ones first, then suspects without ends, then the oldest suspects, and
     * quarantined ones last.
     */
    private void boundSize() {
        long ends = records.values().stream()
                .mapToLong(request -> request.endCount())
                .sum();
        if (records.size() <= MAX_RECORDS && ends <= MAX_TOTAL_ENDS) {
            return;
        }
        List<Map.Entry<Fingerprint, SuspectRequest>> evictionOrder = new ArrayList<>(records.entrySet());
        evictionOrder.sort(Comparator.comparing((Map.Entry<Fingerprint, SuspectRequest> entry) ->
                        entry.getValue().isQuarantined())
                .thenComparing(entry -> !entry.getValue().isCleared())
                .thenComparing(entry -> entry.getValue().endCount() > 0)
                .thenComparing(entry -> entry.getValue().lastEvidenceMillis())
                .thenComparing(entry -> entry.getValue().number()));
        for (Map.Entry<Fingerprint, SuspectRequest> entry : evictionOrder) {
            if (records.size() <= MAX_RECORDS && ends <= MAX_TOTAL_ENDS) {
                return;
            }
            ends -= entry.getValue().endCount();
            records.remove(entry.getKey());
        }
    }

    private boolean publishVerdicts(long revision) {
        boolean changed = false;
        for (SuspectRequest request : records.values()) {
            changed |= request.updateVerdict(revision);
        }
        return changed;
    }
}
