package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;

/**
 * What a voter had stored durably when it stopped.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param hardState the last term and vote
 * @param snapshotIndex the last index that the snapshot covers, 0 without one
 * @param snapshotTerm the term of that index
 * @param snapshot the state at that index, empty without one
 * @param snapshotVoters the voters at that index, empty if they are those that the system began with
 * @param entries the entries after the snapshot
 */
public record StoredState(
        HardState hardState,
        long snapshotIndex,
        long snapshotTerm,
        ByteString snapshot,
        ImmutableSortedSet<String> snapshotVoters,
        ImmutableList<LogEntry> entries) {
    /** What a voter that never ran has stored. */
    public static final StoredState EMPTY = new StoredState(
            HardState.getDefaultInstance(), 0, 0, ByteString.EMPTY, ImmutableSortedSet.of(), ImmutableList.of());
}
