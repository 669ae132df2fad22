package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bramblerack.wire.LogEntry;

/**
 * The log entries after the last snapshot, in memory.
 *
 * <p>Invariant: indexes are consecutive, starting after the snapshot's, and terms never decrease. Not safe for use by
 * several threads.
 */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long snapshotIndex;
    private long snapshotTerm;
    private final VoterHistory voters;

    /** Creates a log from stored entries; the voters are those at the snapshot's index. */
    RaftLog(long snapshotIndex, long snapshotTerm, ImmutableSortedSet<String> voters, List<LogEntry> stored) {
        this.snapshotIndex = snapshotIndex;
        this.snapshotTerm = snapshotTerm;
        this.voters = new VoterHistory(snapshotIndex, voters);
        stored.forEach(this::append);
    }

    /** Returns the voters at each index since the snapshot. */
    VoterHistory voters() {
        return voters;
    }

    long snapshotIndex() {
        return snapshotIndex;
    }

    long lastIndex() {
        return snapshotIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty()
                ? snapshotTerm
                : entries.get(entries.size() - 1).getTerm();
    }

    /** Returns true if a log that ends with the given term and index is at least as up to date as this one. */
    boolean isNotNewerThan(long otherLastTerm, long otherLastIndex) {
        return otherLastTerm > lastTerm() || (otherLastTerm == lastTerm() && otherLastIndex >= lastIndex());
    }

    /** Returns the term of an entry after the snapshot or of the last one in it; -1 for other indexes. */
    long termAt(long index) {
        if (index == snapshotIndex) {
            return snapshotTerm;
        }
        return contains(index) ? entryAt(index).getTerm() : -1;
    }

    boolean contains(long index) {
        return index > snapshotIndex && index <= lastIndex();
    }

    LogEntry entryAt(long index) {
        checkArgument(contains(index), "index %s is not in the log", index);
        return entries.get((int) (index - snapshotIndex - 1));
    }

    void append(LogEntry entry) {
        checkArgument(
                entry.getIndex() == lastIndex() + 1,
                "index %s does not follow the last index %s",
                entry.getIndex(),
                lastIndex());
        checkArgument(
                entry.getTerm() >= lastTerm(), "term %s is lower than the last term %s", entry.getTerm(), lastTerm());
        entries.add(entry);
        voters.append(entry);
    }

    void truncateFrom(long index) {
        checkArgument(contains(index), "index %s is not in the log", index);
        entries.subList((int) (index - snapshotIndex - 1), entries.size()).clear();
        voters.truncateFrom(index);
    }

    /** Returns at most the given number of entries, starting at an index. */
    ImmutableList<LogEntry> entriesFrom(long index, int maxCount) {
        int start = (int) (index - snapshotIndex - 1);
        int count = Math.min(maxCount, entries.size() - start);
        return ImmutableList.copyOf(entries.subList(start, start + count));
    }

    /**
     * Merges the entries of a leader: skips entries that the log contains, and truncates the log at the first conflict.
     *
     * @param commitIndex the index up to which entries must not be removed
     */
    Merge merge(List<LogEntry> received, long commitIndex) {
        ImmutableList.Builder<LogEntry> added = ImmutableList.builder();
        Optional<Long> truncatedFrom = Optional.empty();
        for (LogEntry entry : received) {
            if (termAt(entry.getIndex()) == entry.getTerm()) {
                continue;
            }
            if (contains(entry.getIndex())) {
                checkArgument(
                        entry.getIndex() > commitIndex, "an entry of the leader conflicts with a committed entry");
                truncateFrom(entry.getIndex());
                truncatedFrom = Optional.of(entry.getIndex());
            }
            append(entry);
            added.add(entry);
        }
        return new Merge(truncatedFrom, added.build());
    }

    /** The result of a merge: the index that the log was truncated from, if it was, and the added entries. */
    record Merge(Optional<Long> truncatedFrom, ImmutableList<LogEntry> added) {}

    /** Removes the entries up to an index that a snapshot covers. */
    void compact(long index) {
        long term = termAt(index);
        checkArgument(term >= 0, "index %s is not in the log", index);
        entries.subList(0, (int) (index - snapshotIndex)).clear();
        voters.compact(index);
        snapshotIndex = index;
        snapshotTerm = term;
    }

    /** Replaces the log by a snapshot; keeps the entries after it if the log has the snapshot's last entry. */
    void reset(long index, long term, ImmutableSortedSet<String> snapshotVoters) {
        if (termAt(index) == term) {
            compact(index);
            return;
        }
        entries.clear();
        voters.reset(index, snapshotVoters);
        snapshotIndex = index;
        snapshotTerm = term;
    }
}
