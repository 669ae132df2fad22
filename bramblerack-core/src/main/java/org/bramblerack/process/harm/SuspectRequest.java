package org.bramblerack.process.harm;

import com.google.common.collect.Sets;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord;

/**
 * The evidence against one request, the verdict that was last published, and the running trial.
 *
 * <p>Invariants: a cleared request has no evidence until new evidence arrives. The size of the evidence is bounded. Not
 * safe for use by several threads.
 */
final class SuspectRequest {
    private static final long NO_EVIDENCE = -1;

    private final long number;
    private final Set<Long> leafStarts = new LinkedHashSet<>();
    private final Set<Long> arrivals = new LinkedHashSet<>(2);
    private final Set<Long> disconnectedArrivals = new LinkedHashSet<>(2);
    private HarmRecord.Verdict verdict = HarmRecord.Verdict.VERDICT_UNSPECIFIED;
    private boolean quarantined;
    private boolean onTrial;
    private boolean cleared;
    private boolean noShardAnswered;
    private long trialUntilMillis;
    private long trialArrival;
    private long changedRevision;
    private long firstEvidenceMillis = NO_EVIDENCE;
    private long lastEvidenceMillis;

    /**
     * Creates a record without evidence.
     *
     * @param number orders the records by their creation
     */
    SuspectRequest(long number) {
        this.number = number;
    }

    /** Returns the record that was stored in a snapshot. */
    static SuspectRequest of(HarmRecord record) {
        SuspectRequest request = new SuspectRequest(record.getNumber());
        request.leafStarts.addAll(record.getLeafStartsList());
        request.arrivals.addAll(record.getArrivalsList());
        request.disconnectedArrivals.addAll(record.getBrokenArrivalsList());
        request.verdict = record.getVerdict();
        request.quarantined = record.getVerdict() == HarmRecord.Verdict.BARRED;
        request.onTrial = record.getVerdict() == HarmRecord.Verdict.ON_TRIAL;
        request.cleared = record.getVerdict() == HarmRecord.Verdict.CLEARED;
        request.noShardAnswered = record.getLostWhole();
        request.trialUntilMillis = record.getTrialUntilMillis();
        request.trialArrival = record.getTrialArrival();
        request.changedRevision = record.getChangedRevision();
        request.firstEvidenceMillis = record.getFirstMillis();
        request.lastEvidenceMillis = record.getSeenMillis();
        return request;
    }

    /** Adds evidence, up to the bounds. */
    void add(HarmEvidence evidence, long nowMillis) {
        boolean isNew = evidence.getLostWhole() && !noShardAnswered;
        noShardAnswered |= evidence.getLostWhole();
        isNew |= addUpTo(HarmRecords.MAX_ENDS, evidence.getLeafStartsList(), leafStarts);
        isNew |= addUpTo(HarmRecords.MAX_ARRIVALS, evidence.getArrivalsList(), arrivals);
        isNew |= addUpTo(HarmRecords.MAX_ARRIVALS, evidence.getBrokenArrivalsList(), disconnectedArrivals);
        if (isNew) {
            firstEvidenceMillis = firstEvidenceMillis == NO_EVIDENCE ? nowMillis : firstEvidenceMillis;
            lastEvidenceMillis = nowMillis;
            cleared = false;
        }
    }

    private static boolean addUpTo(int bound, List<Long> added, Set<Long> known) {
        boolean isNew = false;
        for (long each : added) {
            isNew |= known.size() < bound && known.add(each);
        }
        return isNew;
    }

    /** Returns true if the evidence contains anything that is not stored yet and fits the bounds. */
    boolean hasNewEvidence(HarmEvidence evidence) {
        return (evidence.getLostWhole() && !noShardAnswered)
                || !leafStarts.containsAll(evidence.getLeafStartsList())
                || lacks(arrivals, evidence.getArrivalsList())
                || lacks(disconnectedArrivals, evidence.getBrokenArrivalsList());
    }

    private static boolean lacks(Set<Long> known, List<Long> evidence) {
        return known.size() < HarmRecords.MAX_ARRIVALS && !known.containsAll(evidence);
    }

    /** Discards all evidence against the request. */
    void clear(long nowMillis) {
        leafStarts.clear();
        arrivals.clear();
        disconnectedArrivals.clear();
        noShardAnswered = false;
        quarantined = false;
        onTrial = false;
        cleared = true;
        firstEvidenceMillis = NO_EVIDENCE;
        lastEvidenceMillis = nowMillis;
    }

    /** Sets whether the request is quarantined and whether it is on trial. */
    void setRestriction(boolean isQuarantined, boolean isOnTrial) {
        quarantined = isQuarantined;
        onTrial = isOnTrial;
    }

    /** Updates the published verdict; returns true if it changed. */
    boolean updateVerdict(long revision) {
        HarmRecord.Verdict now = currentVerdict();
        if (now == verdict) {
            return false;
        }
        verdict = now;
        changedRevision = revision;
        return true;
    }

    private HarmRecord.Verdict currentVerdict() {
        if (cleared) {
            return HarmRecord.Verdict.CLEARED;
        }
        if (quarantined) {
            return HarmRecord.Verdict.BARRED;
        }
        return onTrial ? HarmRecord.Verdict.ON_TRIAL : HarmRecord.Verdict.SUSPECTED;
    }

    /** Records which arrival is on trial, and until when no other one may be. */
    void grantTrial(long arrival, long untilMillis) {
        trialArrival = arrival;
        trialUntilMillis = untilMillis;
    }

    /** Ends the trial of an arrival; returns false if another arrival, or none, is on trial. */
    boolean endTrial(long arrival) {
        boolean matches = trialArrival == arrival && trialUntilMillis > 0;
        if (matches) {
            trialUntilMillis = 0;
        }
        return matches;
    }

    boolean isTrialRunning(long nowMillis) {
        return nowMillis < trialUntilMillis;
    }

    boolean isQuarantined() {
        return quarantined;
    }

    boolean isOnTrial() {
        return onTrial;
    }

    boolean isCleared() {
        return cleared;
    }

    /** Returns true if a query failed before a leaf of any shard had answered it. */
    boolean hadNoShardAnswered() {
        return noShardAnswered;
    }

    long number() {
        return number;
    }

    long changedRevision() {
        return changedRevision;
    }

    HarmRecord.Verdict verdict() {
        return verdict;
    }

    /** Returns the incarnations of leaves that ended while they ran the request. */
    Set<Long> leafStarts() {
        return Collections.unmodifiableSet(leafStarts);
    }

    int endCount() {
        return leafStarts.size();
    }

    /** Returns the number of arrivals that were running on leaves that ended. */
    int arrivalCount() {
        return arrivals.size();
    }

    /** Returns the number of arrivals that were running on leaves that ended, or lost the connection during a call. */
    int lostArrivalCount() {
        return Sets.union(arrivals, disconnectedArrivals).size();
    }

    long lastEvidenceMillis() {
        return lastEvidenceMillis;
    }

    /** Returns the time between the first and the latest evidence. */
    long spreadMillis() {
        return lastEvidenceMillis - firstEvidenceMillis;
    }

    /** Returns the record that is published to hosts, without the evidence. */
    HarmRecord toRecord(Fingerprint fingerprint) {
        return record(fingerprint).build();
    }

    /** Returns the complete record, for a snapshot. */
    HarmRecord toSnapshot(Fingerprint fingerprint) {
        return record(fingerprint)
                .addAllLeafStarts(leafStarts)
                .addAllArrivals(arrivals)
                .addAllBrokenArrivals(disconnectedArrivals)
                .setLostWhole(noShardAnswered)
                .setTrialArrival(trialArrival)
                .build();
    }

    private HarmRecord.Builder record(Fingerprint fingerprint) {
        return HarmRecord.newBuilder()
                .setFingerprint(fingerprint.toBytes())
                .setVerdict(verdict)
                .setChangedRevision(changedRevision)
                .setSeenMillis(lastEvidenceMillis)
                .setFirstMillis(firstEvidenceMillis)
                .setTrialUntilMillis(trialUntilMillis)
                .setNumber(number);
    }
}
