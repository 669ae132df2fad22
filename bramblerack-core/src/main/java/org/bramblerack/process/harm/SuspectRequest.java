package org.bramblerack.process.harm;

import com.google.common.collect.Sets;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.bramblerack.wire.HarmEvidence;
import org.bramblerack.wire.HarmRecord;

/**
 * What speaks against one request, the verdict that was told of it, and whose trial is under way.
 *
 * <p>Invariants: once it is cleared, nothing speaks against it until new evidence comes. What is kept is bounded. Not
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
     * Creates a record that holds nothing against the request.
     *
     * @param number orders the records by when they were made
     */
    SuspectRequest(long number) {
        this.number = number;
    }

    /** Returns the record that a snapshot holds. */
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

    /** Adds what a host saw, as far as there is room for it. */
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

    /** Returns true if evidence says anything that is not held and that there is room for. */
    boolean hasNewEvidence(HarmEvidence evidence) {
        return (evidence.getLostWhole() && !noShardAnswered)
                || !leafStarts.containsAll(evidence.getLeafStartsList())
                || lacks(arrivals, evidence.getArrivalsList())
                || lacks(disconnectedArrivals, evidence.getBrokenArrivalsList());
    }

    private static boolean lacks(Set<Long> known, List<Long> evidence) {
        return known.size() < HarmRecords.MAX_ARRIVALS && !known.containsAll(evidence);
    }

    /** Lets go of everything that speaks against the request. */
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

    /** Sets what is to become of the request. */
    void setRestriction(boolean isQuarantined, boolean isOnTrial) {
        quarantined = isQuarantined;
        onTrial = isOnTrial;
    }

    /** Takes over the verdict that is to be told; returns true if it is another one than before. */
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

    /** Notes which arrival is tried, and until when no other one may be. */
    void grantTrial(long arrival, long untilMillis) {
        trialArrival = arrival;
        trialUntilMillis = untilMillis;
    }

    /** Ends the trial of an arrival, if it is the one that is tried; returns true if it is. */
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

    /** Returns true if a query broke before a leaf of any shard had answered it. */
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

    /** Returns the starts of leafs that ended with the request on them. */
    Set<Long> leafStarts() {
        return Collections.unmodifiableSet(leafStarts);
    }

    int endCount() {
        return leafStarts.size();
    }

    /** Returns how many arrivals were on leafs that ended. */
    int arrivalCount() {
        return arrivals.size();
    }

    /** Returns how many arrivals were on leafs that ended, or had a call that broke. */
    int lostArrivalCount() {
        return Sets.union(arrivals, disconnectedArrivals).size();
    }

    long lastEvidenceMillis() {
        return lastEvidenceMillis;
    }

    /** Returns how far apart in time what speaks against the request was seen. */
    long spreadMillis() {
        return lastEvidenceMillis - firstEvidenceMillis;
    }

    /** Returns what hosts that follow the tables are told. */
    HarmRecord toRecord(Fingerprint fingerprint) {
        return record(fingerprint).build();
    }

    /** Returns all of it. */
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
