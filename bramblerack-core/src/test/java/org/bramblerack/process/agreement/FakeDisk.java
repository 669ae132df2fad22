package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;

/** The in-memory disk of one voter: a crash loses what was written and not synced. */
final class FakeDisk {
    private final boolean skipsSyncs;
    private State synced = new State(
            HardState.getDefaultInstance(), 0, 0, ByteString.EMPTY, ImmutableSortedSet.of(), ImmutableList.of());
    private State written = synced;

    FakeDisk(boolean skipsSyncs) {
        this.skipsSyncs = skipsSyncs;
    }

    void write(RaftAction.Persist persist) {
        List<LogEntry> entries = new ArrayList<>(written.entries());
        persist.truncateFrom().ifPresent(from -> entries.removeIf(entry -> entry.getIndex() >= from));
        entries.addAll(persist.entries());
        written = new State(
                persist.hardState().orElse(written.hardState()),
                written.snapshotIndex(),
                written.snapshotTerm(),
                written.snapshot(),
                written.voters(),
                ImmutableList.copyOf(entries));
    }

    void write(RaftAction.SaveSnapshot save) {
        written = new State(save.hardState(), save.index(), save.term(), save.state(), save.voters(), save.suffix());
    }

    void sync() {
        if (!skipsSyncs) {
            synced = written;
        }
    }

    StoredState crash() {
        written = synced;
        return new StoredState(
                synced.hardState(),
                synced.snapshotIndex(),
                synced.snapshotTerm(),
                synced.snapshot(),
                synced.voters(),
                synced.entries());
    }

    private record State(
            HardState hardState,
            long snapshotIndex,
            long snapshotTerm,
            ByteString snapshot,
            ImmutableSortedSet<String> voters,
            ImmutableList<LogEntry> entries) {}
}
