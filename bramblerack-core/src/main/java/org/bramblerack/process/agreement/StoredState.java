package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;

/**
 * The state that a voter reads from its disk when it starts.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param hardState the last term and vote
 * @param snapshotIndex the last index that the snapshot covers; 0 if there is no snapshot
 * @param snapshotTerm the term of that index
 * @param snapshot the state at that index; empty if there is no snapshot
 * @param snapshotVoters the voters at that index; empty if they are the initial ones
 * @param entries the entries after the snapshot
 */
public record StoredState(
        HardState hardState,
        long snapshotIndex,
        long snapshotTerm,
        ByteString snapshot,
        ImmutableSortedSet<String> snapshotVoters,
        ImmutableList<LogEntry> entries) {
    /** The state of a voter that has not run before. */
    public static final StoredState EMPTY = new StoredState(
            HardState.getDefaultInstance(), 0, 0, ByteString.EMPTY, ImmutableSortedSet.of(), ImmutableList.of());
}
