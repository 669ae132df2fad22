package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * What the log protocol wants done.
 *
 * <p>The actions of one call are carried out in order, and nothing after a {@link Persist} or {@link SaveSnapshot} may
 * be done before it is synced. The persists of several calls may share one sync if everything after them waits for it.
 */
public sealed interface RaftAction {
    /**
     * Store durably.
     *
     * @param hardState the term and vote, if they changed
     * @param truncateFrom the first index of entries to drop, if any are to be dropped
     * @param entries entries to append
     */
    record Persist(Optional<HardState> hardState, Optional<Long> truncateFrom, ImmutableList<LogEntry> entries)
            implements RaftAction {}

    /**
     * Store a snapshot durably, then replace the stored log by what follows it.
     *
     * @param index the last index that the snapshot covers
     * @param term the term of that index
     * @param state the state at that index
     * @param voters the voters at that index
     * @param hardState the present term and vote
     * @param suffix the entries after the index that remain
     */
    record SaveSnapshot(
            long index,
            long term,
            ByteString state,
            ImmutableSortedSet<String> voters,
            HardState hardState,
            ImmutableList<LogEntry> suffix)
            implements RaftAction {}

    /** Replace the state by that of a snapshot. */
    record RestoreSnapshot(ByteString state) implements RaftAction {}

    /** Send a message to another voter. It may be lost. */
    record Send(RaftMessage message) implements RaftAction {}

    /** Apply a committed entry; the token is that of the proposal if this voter took it. */
    record Apply(LogEntry entry, Optional<Long> token) implements RaftAction {}

    /** A proposal was replaced or its fate is unknown here: it may still be committed by another leader. */
    record ProposalLost(long token) implements RaftAction {}

    /** Answer a read from the state as applied so far: it is current. */
    record ReadReady(long token) implements RaftAction {}

    /** A read could not be confirmed. */
    record ReadFailed(long token) implements RaftAction {}

    /** The voters changed. */
    record VotersChanged(ImmutableSortedSet<String> voters) implements RaftAction {}

    /** The role, the term or the known leader changed. */
    record RoleChanged(RaftRole role, long term, Optional<String> leader) implements RaftAction {}
}
