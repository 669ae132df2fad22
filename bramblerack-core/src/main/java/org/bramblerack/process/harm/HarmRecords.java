package org.bramblerack.process.harm;

import com.google.common.collect.ImmutableList;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
 * <p>Invariants: a request is barred only while {@link #ENDS_TO_BAR} leafs ended with it on them and no leaf has
 * survived it since. That much happens to bystanders as well, when all leafs end at once or next to a harmful request.
 * What tells them apart: a harmful request comes again and ends leafs again, and the ends of a bystander are explained
 * by another one. Until that shows, a request is on trial: of all arrivals at all hosts one at a time is let through.
 * The verdicts follow from all that was reported, anew after each report. The number of records and of ends is bounded.
 * No clock is read: reports carry the time. Not safe for use by several threads.
 */
public final class HarmRecords {
    /**
     * How many leafs a request may end: the users' bound is that it is hardly sent on after the third. One leaf that
     * ends is an accident and two may be one request that was retried there.
     */
    public static final int ENDS_TO_BAR = 3;

    /**
     * From how many ends on a request is on trial: one fewer, since the only host that saw an end may be gone or cut
     * off. A trial costs a bystander some tens of milliseconds.
     */
    public static final int ENDS_TO_TRY = 2;

    /** How often a request comes that can be no bystander each time: callers mostly try again once. */
    static final int ARRIVALS_OF_HARM = 3;
    /** For how long nobody else may try a request: the longest work of a leaf, and word of what came of it. */
    static final long TRIAL_MILLIS = 3_000;
    /** How many arrivals of a request are told apart. */
    static final int MAX_ARRIVALS = 8;
    /** How many records are kept: with the ends below, about a megabyte and a half. */
    static final int MAX_RECORDS = 1_024;
    /** How many ends are kept for one request: those of every leaf of the largest index, twice over. */
    static final int MAX_ENDS = 1_024;
    /** How many ends are kept for all requests. */
    static final int MAX_ENDS_IN_ALL = 16_384;
    /** How long ends count: a request may come rarely, but what it met long ago says little of it. */
    static final long KEEP_SUSPECTED_MILLIS = 10L * 60 * 1_000;
    /** How long a request is barred after the last leaf that ended with it: leafs are repaired meanwhile, or it is. */
    static final long KEEP_BARRED_MILLIS = 60L * 60 * 1_000;

    private final Map<Fingerprint, Held> records = new LinkedHashMap<>();
    private long clockMillis;
    private long lastNumber;

    /**
     * Takes a report.
     *
     * @param revision what records are marked with whose verdict changes
     * @return true if hosts need to hear of a change
     */
    public boolean take(HarmReport report, long revision) {
        clockMillis = Math.max(clockMillis, report.getAtMillis());
        report.getEndedList()
                .forEach(evidence -> Fingerprint.fromBytes(evidence.getFingerprint())
                        .ifPresent(fingerprint -> add(fingerprint, evidence)));
        report.getSurvivedList().forEach(bytes -> Fingerprint.fromBytes(bytes).ifPresent(this::clear));
        forgetOld();
        judge();
        boundSize();
        return markChanged(revision);
    }

    /** Has an arrival of a request tried, unless another is; returns true if it may be sent to leafs. */
    public boolean tryOnce(TakeTrial trial) {
        clockMillis = Math.max(clockMillis, trial.getAtMillis());
        List<Held> onTrial = new ArrayList<>(2);
        for (ByteString bytes : trial.getFingerprintsList()) {
            Fingerprint.fromBytes(bytes).map(records::get).ifPresent(onTrial::add);
        }
        boolean free = onTrial.stream().noneMatch(held -> held.isBarred() || clockMillis < held.trialUntilMillis);
        if (free) {
            onTrial.forEach(held -> held.trialUntilMillis = clockMillis + TRIAL_MILLIS);
        }
        return free;
    }

    /** Returns true if a report says anything that is not known. */
    public boolean wouldChange(HarmReport report) {
        return report.getEndedList().stream().anyMatch(this::isNews)
                || report.getSurvivedList().stream()
                        .anyMatch(bytes -> Fingerprint.fromBytes(bytes)
                                .map(records::get)
                                .filter(held -> held.verdict != HarmRecord.Verdict.CLEARED)
                                .isPresent());
    }

    /** Returns what is held of a request, if anything is. */
    public Optional<HarmRecord.Verdict> verdict(Fingerprint fingerprint) {
        return Optional.ofNullable(records.get(fingerprint)).map(held -> held.verdict);
    }

    /** Returns how many requests are barred or on trial. */
    public int restrictedCount() {
        return (int) records.values().stream()
                .filter(held -> held.barred || held.onTrial)
                .count();
    }

    /** Returns the records that changed after a revision, without their ends, for hosts that follow. */
    public ImmutableList<HarmRecord> changedSince(long revision) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().changedRevision > revision)
                .map(entry -> entry.getValue().toRecord(entry.getKey()).build())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the records whole, for a snapshot. */
    public ImmutableList<HarmRecord> all() {
        return records.entrySet().stream()
                .map(entry -> entry.getValue()
                        .toRecord(entry.getKey())
                        .addAllLeafStarts(entry.getValue().leafStarts)
                        .addAllArrivals(entry.getValue().arrivals)
                        .build())
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
                    .ifPresent(fingerprint -> records.put(fingerprint, Held.of(record)));
        }
    }

    private boolean isNews(HarmEvidence evidence) {
        Held held = Fingerprint.fromBytes(evidence.getFingerprint())
                .map(records::get)
                .orElse(null);
        return held == null
                || !held.leafStarts.containsAll(evidence.getLeafStartsList())
                || (held.arrivals.size() < MAX_ARRIVALS && !held.arrivals.containsAll(evidence.getArrivalsList()));
    }

    private void add(Fingerprint fingerprint, HarmEvidence evidence) {
        Held held = records.computeIfAbsent(fingerprint, unused -> new Held(++lastNumber));
        for (long leafStart : evidence.getLeafStartsList()) {
            if (held.leafStarts.size() < MAX_ENDS && held.leafStarts.add(leafStart)) {
                held.seenMillis = clockMillis;
                held.cleared = false;
            }
        }
        for (long arrival : evidence.getArrivalsList()) {
            if (held.arrivals.size() < MAX_ARRIVALS) {
                held.arrivals.add(arrival);
            }
        }
    }

    private void clear(Fingerprint fingerprint) {
        Held held = records.get(fingerprint);
        if (held != null) {
            held.clear(clockMillis);
        }
    }

    /**
     * Decides anew which requests are barred: the one under which most leafs ended first. Of two with the same ends the
     * narrower fingerprint, and else the one that was heard of first, goes first.
     */
    private void judge() {
        Set<Long> explained = new HashSet<>();
        List<Held> candidates = new ArrayList<>();
        for (Held held : records.values()) {
            held.barred = false;
            held.onTrial = held.leafStarts.size() >= ENDS_TO_TRY;
            if (held.leafStarts.size() >= ENDS_TO_BAR) {
                candidates.add(held);
            }
        }
        candidates.sort(
                Comparator.comparingInt((Held held) -> -held.leafStarts.size()).thenComparingLong(held -> held.number));
        for (Held held : candidates) {
            if (isHarmful(held, explained)) {
                held.barred = true;
                explained.addAll(held.leafStarts);
            }
        }
    }

    /** Returns true if a request ends leafs itself, as far as that can be told. */
    private static boolean isHarmful(Held held, Set<Long> explained) {
        if (held.arrivals.size() >= ARRIVALS_OF_HARM) {
            return true;
        }
        long unexplained = held.leafStarts.stream()
                .filter(leafStart -> !explained.contains(leafStart))
                .count();
        return unexplained >= ENDS_TO_BAR && held.arrivals.size() > 1;
    }

    private void forgetOld() {
        for (Held held : records.values()) {
            long keptMillis = held.isBarred() ? KEEP_BARRED_MILLIS : KEEP_SUSPECTED_MILLIS;
            if (!held.cleared && clockMillis - held.seenMillis > keptMillis) {
                held.clear(clockMillis);
            }
        }
        records.values().removeIf(held -> held.cleared && clockMillis - held.seenMillis > KEEP_SUSPECTED_MILLIS);
    }

    /**
     * Lets go of cleared records first, then of suspicions, the oldest first, and of a bar only if there is no other.
     */
    private void boundSize() {
        long ends = records.values().stream()
                .mapToLong(held -> held.leafStarts.size())
                .sum();
        if (records.size() <= MAX_RECORDS && ends <= MAX_ENDS_IN_ALL) {
            return;
        }
        List<Map.Entry<Fingerprint, Held>> leastFirst = new ArrayList<>(records.entrySet());
        leastFirst.sort(Comparator.comparing(
                        (Map.Entry<Fingerprint, Held> entry) -> entry.getValue().isBarred())
                .thenComparing(entry -> !entry.getValue().cleared)
                .thenComparing(entry -> entry.getValue().seenMillis)
                .thenComparing(entry -> entry.getValue().number));
        for (Map.Entry<Fingerprint, Held> entry : leastFirst) {
            if (records.size() <= MAX_RECORDS && ends <= MAX_ENDS_IN_ALL) {
                return;
            }
            ends -= entry.getValue().leafStarts.size();
            records.remove(entry.getKey());
        }
    }

    private boolean markChanged(long revision) {
        boolean changed = false;
        for (Held held : records.values()) {
            HarmRecord.Verdict now = held.judged();
            if (now != held.verdict) {
                held.verdict = now;
                held.changedRevision = revision;
                changed = true;
            }
        }
        return changed;
    }

    /** One request's record. */
    private static final class Held {
        private final long number;
        private final Set<Long> leafStarts = new LinkedHashSet<>();
        private final Set<Long> arrivals = new LinkedHashSet<>(2);
        private HarmRecord.Verdict verdict = HarmRecord.Verdict.VERDICT_UNSPECIFIED;
        private boolean barred;
        private boolean onTrial;
        private long trialUntilMillis;
        private boolean cleared;
        private long changedRevision;
        private long seenMillis;

        Held(long number) {
            this.number = number;
        }

        static Held of(HarmRecord record) {
            Held held = new Held(record.getNumber());
            held.leafStarts.addAll(record.getLeafStartsList());
            held.arrivals.addAll(record.getArrivalsList());
            held.verdict = record.getVerdict();
            held.barred = record.getVerdict() == HarmRecord.Verdict.BARRED;
            held.cleared = record.getVerdict() == HarmRecord.Verdict.CLEARED;
            held.changedRevision = record.getChangedRevision();
            held.seenMillis = record.getSeenMillis();
            held.onTrial = record.getVerdict() == HarmRecord.Verdict.ON_TRIAL;
            held.trialUntilMillis = record.getTrialUntilMillis();
            return held;
        }

        boolean isBarred() {
            return barred;
        }

        void clear(long nowMillis) {
            leafStarts.clear();
            arrivals.clear();
            cleared = true;
            barred = false;
            onTrial = false;
            seenMillis = nowMillis;
        }

        HarmRecord.Verdict judged() {
            if (cleared) {
                return HarmRecord.Verdict.CLEARED;
            }
            if (barred) {
                return HarmRecord.Verdict.BARRED;
            }
            return onTrial ? HarmRecord.Verdict.ON_TRIAL : HarmRecord.Verdict.SUSPECTED;
        }

        HarmRecord.Builder toRecord(Fingerprint fingerprint) {
            return HarmRecord.newBuilder()
                    .setFingerprint(fingerprint.toBytes())
                    .setVerdict(verdict)
                    .setChangedRevision(changedRevision)
                    .setSeenMillis(seenMillis)
                    .setTrialUntilMillis(trialUntilMillis)
                    .setNumber(number);
        }
    }
}
