package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.Optional;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * An action that {@link RaftNode} requests from its caller.
 *
 * <p>The caller carries out the actions of one call in order and syncs a {@link Persist} or {@link SaveSnapshot} before
 * it starts the next action. The persists of several calls may share one sync if all later actions wait for it.
 */
public sealed interface RaftAction {
    /**
     * Stores state durably.
     *
     * @param hardState the term and vote, if they changed
     * @param truncateFrom the first index of the entries to remove, if there are any
     * @param entries the entries to append
     */
    record Persist(Optional<HardState> hardState, Optional<Long> truncateFrom, ImmutableList<LogEntry> entries)
            implements RaftAction {}

    /**
     * Stores a snapshot durably and replaces the stored log by the entries after it.
     *
     * @param index the last index that the snapshot covers
     * @param term the term of that index
     * @param state the state at that index
     * @param voters the voters at that index
     * @param hardState the current term and vote
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

    /** Replaces the state machine's state by that of a snapshot. */
    record RestoreSnapshot(ByteString state) implements RaftAction {}

    /** Sends a message to another host; delivery is not guaranteed. */
    record Send(RaftMessage message) implements RaftAction {}

    /** Applies a committed entry; the token is present if this voter accepted the proposal. */
    record Apply(LogEntry entry, Optional<Long> token) implements RaftAction {}

    /** Fails a proposal whose outcome is unknown to this voter; another leader may still commit it. */
    record ProposalLost(long token) implements RaftAction {}

    /** Answers a read from the applied state, which is current. */
    record ReadReady(long token) implements RaftAction {}

    /** Fails a read, because this voter stopped leading before a quorum confirmed it. */
    record ReadFailed(long token) implements RaftAction {}

    /** Reports that the set of voters changed. */
    record VotersChanged(ImmutableSortedSet<String> voters) implements RaftAction {}

    /** Reports that the role or the known leader changed. */
    record RoleChanged(RaftRole role, long term, Optional<String> leader) implements RaftAction {}
}
