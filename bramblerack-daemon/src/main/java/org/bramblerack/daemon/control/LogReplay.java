package org.bramblerack.daemon.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.process.agreement.StoredState;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.LogRecord;
import org.bramblerack.wire.SnapshotRecord;

/**
 * Rebuilds the state of a voter from its snapshot and the records of its log, read in order.
 *
 * <p>Entries that the snapshot covers are skipped. If the log's entry at the snapshot's index has another term, the
 * log's entries were never committed and all are dropped. Not safe for use by several threads.
 */
final class LogReplay {
    private final SnapshotRecord snapshot;
    private final List<LogEntry> entries = new ArrayList<>();
    private HardState hardState = HardState.getDefaultInstance();

    LogReplay(SnapshotRecord snapshot) {
        this.snapshot = snapshot;
    }

    void apply(LogRecord record) throws DiskFault {
        switch (record.getBodyCase()) {
            case HARD_STATE -> hardState = record.getHardState();
            case ENTRY -> append(record.getEntry());
            case TRUNCATE_FROM -> entries.removeIf(entry -> entry.getIndex() >= record.getTruncateFrom());
            default -> {
                // A record of the synced offset carries no state.
            }
        }
    }

    StoredState result() throws DiskFault {
        return new StoredState(
                hardState,
                snapshot.getLastIndex(),
                snapshot.getLastTerm(),
                snapshot.getState(),
                ImmutableSortedSet.copyOf(snapshot.getVotersList()),
                ImmutableList.copyOf(entriesAfterSnapshot()));
    }

    private void append(LogEntry entry) throws DiskFault {
        if (!entries.isEmpty()
                && entry.getIndex() != entries.get(entries.size() - 1).getIndex() + 1) {
            throw new DiskFault("entries are missing from the log before index " + entry.getIndex()
                    + "; remove this member from the voters, clear its folder, and add it anew");
        }
        entries.add(entry);
    }

    private List<LogEntry> entriesAfterSnapshot() throws DiskFault {
        long snapshotIndex = snapshot.getLastIndex();
        boolean conflictsWithSnapshot = entries.stream()
                .anyMatch(entry -> entry.getIndex() == snapshotIndex && entry.getTerm() != snapshot.getLastTerm());
        if (conflictsWithSnapshot) {
            return ImmutableList.of();
        }
        List<LogEntry> remaining = entries.stream()
                .filter(entry -> entry.getIndex() > snapshotIndex)
                .toList();
        if (!remaining.isEmpty() && remaining.get(0).getIndex() != snapshotIndex + 1) {
            throw new DiskFault("the log begins at index " + remaining.get(0).getIndex() + " but the snapshot ends at "
                    + snapshotIndex + "; remove this member from the voters, clear its folder, and add it anew");
        }
        return remaining;
    }
}
