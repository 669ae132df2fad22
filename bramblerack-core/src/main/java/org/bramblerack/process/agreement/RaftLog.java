package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.wire.LogEntry;

/**
 * The entries that a voter holds after its snapshot.
 *
 * <p>Invariant: the indexes are consecutive from the snapshot's on and the terms never decrease. Not safe for use by
 * several threads.
 */
final class RaftLog {
    private final List<LogEntry> entries = new ArrayList<>();
    private long snapshotIndex;
    private long snapshotTerm;

    RaftLog(long snapshotIndex, long snapshotTerm, List<LogEntry> stored) {
        this.snapshotIndex = snapshotIndex;
        this.snapshotTerm = snapshotTerm;
        stored.forEach(this::append);
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

    /** Returns the term of an index, or -1 if the index is not held. */
    long termAt(long index) {
        if (index == snapshotIndex) {
            return snapshotTerm;
        }
        return holds(index) ? entryAt(index).getTerm() : -1;
    }

    boolean holds(long index) {
        return index > snapshotIndex && index <= lastIndex();
    }

    LogEntry entryAt(long index) {
        checkArgument(holds(index), "index %s is not held", index);
        return entries.get((int) (index - snapshotIndex - 1));
    }

    void append(LogEntry entry) {
        checkArgument(entry.getIndex() == lastIndex() + 1, "index %s after %s", entry.getIndex(), lastIndex());
        checkArgument(entry.getTerm() >= lastTerm(), "term %s after %s", entry.getTerm(), lastTerm());
        entries.add(entry);
    }

    void truncateFrom(long index) {
        checkArgument(holds(index), "index %s is not held", index);
        entries.subList((int) (index - snapshotIndex - 1), entries.size()).clear();
    }

    /** Returns at most the given number of entries from an index on. */
    ImmutableList<LogEntry> from(long index, int most) {
        int start = (int) (index - snapshotIndex - 1);
        int count = Math.min(most, entries.size() - start);
        return ImmutableList.copyOf(entries.subList(start, start + count));
    }

    /** Drops the entries up to an index that a snapshot covers. */
    void compact(long index) {
        long term = termAt(index);
        checkArgument(term >= 0, "index %s is not held", index);
        entries.subList(0, (int) (index - snapshotIndex)).clear();
        snapshotIndex = index;
        snapshotTerm = term;
    }

    /** Replaces everything by a snapshot, keeping entries that follow it if they fit. */
    void reset(long index, long term) {
        if (termAt(index) == term) {
            compact(index);
            return;
        }
        entries.clear();
        snapshotIndex = index;
        snapshotTerm = term;
    }
}
