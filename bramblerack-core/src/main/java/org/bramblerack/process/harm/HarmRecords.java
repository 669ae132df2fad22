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
 * What is known of requests under which leafs ended, and which of them are sent to no leaf any more.
 *
 * <p>Invariants: a request is barred only while a leaf ended with it on it and no leaf has survived it since; either
 * {@link #ENDS_TO_QUARANTINE} leafs ended, or it came {@link #ARRIVALS_TO_QUARANTINE} times and broke each time. That
 * much happens to bystanders as well, when all leafs end at once or next to a harmful request. What tells them apart: a
 * harmful request comes again later and ends leafs again, and the ends of a bystander are explained by another one.
 * Until that shows, a request is on trial: of all arrivals at all hosts one at a time is let through. The verdicts
 * follow from all that was reported, anew after each report. The number of records and of ends is bounded. No clock is
 * read: reports carry the time. Not safe for use by several threads.
 */
public final class HarmRecords {
    /**
     * How many leafs a request may end: the users' bound is that it is hardly sent on after the third. One leaf that
     * ends is an accident and two may be one request that was retried there.
     */
    public static final int ENDS_TO_QUARANTINE = 3;

    /**
     * From how many ends on a request is on trial: one fewer, since the only host that saw an end may be gone or cut
     * off. A trial costs a bystander some tens of milliseconds. A query that no leaf of any shard answered is on trial
     * from the first end on: the host gave the other calls up, so it did not see what became of these leafs.
     */
    public static final int ENDS_TO_TRIAL = 2;

    /**
     * How often a request comes that can be no bystander each time: callers mostly try again once. Arrivals whose call
     * broke count as well once one leaf was found to have ended: a leaf may be back before a host has looked.
     */
    static final int ARRIVALS_TO_QUARANTINE = 3;
    /**
     * For how long nobody else may try a request: the longest mean work of a leaf on the users' sheets, 163 ms, several
     * times over, a report's 100 ms and up to 300 ms until it is agreed on. Half as long made no difference in 1,000
     * schedules.
     */
    static final long TRIAL_MILLIS = 1_500;
    /**
     * How far apart in time what is held against a request must be. All that happens in one moment may be one failure
     * of many leafs, with callers that come again at once; a harmful request shows again when it comes later, which
     * costs one trial.
     */
    static final long MIN_SPREAD_MILLIS = 1_000;
    /** How many arrivals of a request are told apart. */
    static final int MAX_ARRIVALS = 8;
    /** How many records are kept: with the ends below, a megabyte and a half by estimate. */
    static final int MAX_RECORDS = 1_024;
    /** How many ends are kept for one request: those of every leaf of the largest index, twice over. */
    static final int MAX_ENDS = 1_024;
    /** How many ends are kept for all requests. */
    static final int MAX_TOTAL_ENDS = 16_384;
    /** How long ends count: a request may come rarely, but what it met long ago says little of it. */
    static final long SUSPECT_RETENTION_MILLIS = 10L * 60 * 1_000;
    /** How long a request is barred after the last leaf that ended with it: leafs are repaired meanwhile, or it is. */
    static final long QUARANTINE_MILLIS = 60L * 60 * 1_000;

    private final Map<Fingerprint, SuspectRequest> records = new LinkedHashMap<>();
    private long clockMillis;
    private long lastNumber;

    /**
     * Takes a report.
     *
     * @param revision what records are marked with whose verdict changes
     * @return true if hosts need to hear of a change
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

    /** Has an arrival of a request tried, unless another is; returns true if it may be sent to leafs. */
    public boolean tryStartTrial(TakeTrial trial) {
        clockMillis = Math.max(clockMillis, trial.getAtMillis());
        List<SuspectRequest> onTrial = new ArrayList<>(2);
        for (ByteString bytes : trial.getFingerprintsList()) {
            // One that is cleared is served: the host that asks has not heard of it yet.
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
     * Ends the trial of an arrival, so that another one may be tried at once, and takes in the same step what it
     * showed: a harmful request is not tried more often than it takes to bar it, and one that was answered holds nobody
     * back until its host's next report.
     *
     * @param revision what records are marked with whose verdict changes
     * @return true if hosts need to hear of a change
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

    /** Returns true if a report says anything that is not known. */
    public boolean wouldChange(HarmReport report) {
        return report.getEndedList().stream().anyMatch(this::hasNewEvidence)
                || report.getSurvivedList().stream()
                        .anyMatch(bytes -> Fingerprint.fromBytes(bytes)
                                .map(records::get)
                                .filter(request -> request.verdict() != HarmRecord.Verdict.CLEARED)
                                .isPresent());
    }

    /** Returns what is held of a request, if anything is. */
    public Optional<HarmRecord.Verdict> verdict(Fingerprint fingerprint) {
        return Optional.ofNullable(records.get(fingerprint)).map(SuspectRequest::verdict);
    }

    /** Returns how many requests are barred or on trial. */
    public int restrictedCount() {
        return (int) records.values().stream()
                .filter(request -> request.isQuarantined() || request.isOnTrial())
                .count();
    }

    /** Returns the records that changed after a revision, without their ends, for hosts that follow. */
    public ImmutableList<HarmRecord> changedSince(long revision) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().changedRevision() > revision)
                .map(entry -> entry.getValue().toRecord(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the records whole, for a snapshot. */
    public ImmutableList<HarmRecord> all() {
        return records.entrySet().stream()
                .map(entry -> entry.getValue().toSnapshot(entry.getKey()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the greatest time that reports named. */
    public long clockMillis() {
        return clockMillis;
    }

    /** Returns the number of the record that was made last. */
    public long lastNumber() {
        return lastNumber;
    }

    /** Replaces everything by what a snapshot holds. */
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
     * Decides anew which requests are barred: the one under which most leafs ended first. Of two with the same ends the
     * narrower fingerprint, and else the one that was heard of first, goes first.
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

    /** Returns true if a request ends leafs itself, as far as that can be told. */
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
     * Lets go of cleared records first, then of suspicions, those without an end and the oldest first, and of a bar
     * only if there is no other.
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
