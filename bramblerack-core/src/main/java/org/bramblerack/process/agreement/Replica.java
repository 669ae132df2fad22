package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * One voter's copy of the replicated log, with its persisted, commit and applied indexes.
 *
 * <p>Invariants: the commit and the applied index never decrease; only committed entries are applied, each once and in
 * order. Not safe for use by several threads.
 */
final class Replica {
    private final RaftLog log;
    private final Map<Long, Long> tokensByIndex = new TreeMap<>();
    private ByteString snapshot;
    private long commitIndex;
    private long appliedIndex;
    private long persistedIndex;

    /**
     * Creates a replica from stored state.
     *
     * @param initialVoters the voters if the stored state has no snapshot with voters
     */
    Replica(StoredState stored, ImmutableSortedSet<String> initialVoters) {
        ImmutableSortedSet<String> voters = stored.snapshotVoters().isEmpty() ? initialVoters : stored.snapshotVoters();
        this.log = new RaftLog(stored.snapshotIndex(), stored.snapshotTerm(), voters, stored.entries());
        this.snapshot = stored.snapshot();
        this.commitIndex = stored.snapshotIndex();
        this.appliedIndex = stored.snapshotIndex();
        this.persistedIndex = log.lastIndex();
    }

    /** Returns the entries since the snapshot. Callers must not modify them. */
    RaftLog log() {
        return log;
    }

    ByteString snapshot() {
        return snapshot;
    }

    ImmutableSortedSet<String> voters() {
        return log.voters().current();
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    long persistedIndex() {
        return persistedIndex;
    }

    /** Returns true if there are entries for which no {@link RaftAction.Persist} has been issued. */
    boolean hasUnpersisted() {
        return log.lastIndex() > persistedIndex;
    }

    /** Returns the number of entries that are not known to be committed. */
    long uncommittedCount() {
        return log.lastIndex() - commitIndex;
    }

    /** Returns true if the last entry that is known to be committed is of the given term. */
    boolean hasCommittedIn(long term) {
        return log.termAt(commitIndex) == term;
    }

    /** Appends an entry as the leader of the given term. */
    void append(LogEntry.Builder entry, long term) {
        log.append(entry.setTerm(term).setIndex(log.lastIndex() + 1).build());
    }

    /** Appends a command; the token is part of the action that applies or fails it. */
    void appendCommand(ByteString command, long term, long token) {
        append(LogEntry.newBuilder().setCommand(command), term);
        tokensByIndex.put(log.lastIndex(), token);
    }

    /** Fails the proposals of this voter that are not applied yet, since their outcome is unknown from now on. */
    void failProposals(List<RaftAction> actions) {
        tokensByIndex.values().forEach(token -> actions.add(new RaftAction.ProposalLost(token)));
        tokensByIndex.clear();
    }

    /** Issues the action that stores the entries appended by this voter. */
    void persistOwnEntries(List<RaftAction> actions) {
        if (hasUnpersisted()) {
            ImmutableList<LogEntry> entries = log.entriesFrom(persistedIndex + 1, Integer.MAX_VALUE);
            actions.add(new RaftAction.Persist(Optional.empty(), Optional.empty(), entries));
            persistedIndex = log.lastIndex();
        }
    }

    /** Merges the entries of a leader and replaces those that conflict with them. */
    void merge(List<LogEntry> entries, List<RaftAction> actions) {
        RaftLog.Merge merge = log.merge(entries, commitIndex);
        if (!merge.added().isEmpty()) {
            actions.add(new RaftAction.Persist(Optional.empty(), merge.truncatedFrom(), merge.added()));
        }
        persistedIndex = log.lastIndex();
    }

    /** Advances the commit index and issues the actions that apply the newly committed entries. */
    void commitTo(long index, List<RaftAction> actions) {
        commitIndex = Math.max(commitIndex, index);
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            Optional<Long> token = Optional.ofNullable(tokensByIndex.remove(appliedIndex));
            actions.add(new RaftAction.Apply(log.entryAt(appliedIndex), token));
        }
    }

    /** Replaces log and state by a leader's snapshot, which must be beyond the commit index. */
    void restore(RaftMessage message, HardState hardState, List<RaftAction> actions) {
        ImmutableSortedSet<String> snapshotVoters = ImmutableSortedSet.copyOf(message.getSnapshotVotersList());
        log.reset(message.getLastIndex(), message.getLastTerm(), snapshotVoters);
        snapshot = message.getSnapshot();
        commitIndex = message.getLastIndex();
        appliedIndex = message.getLastIndex();
        persistedIndex = log.lastIndex();
        actions.add(saveSnapshot(hardState));
        actions.add(new RaftAction.RestoreSnapshot(snapshot));
    }

    /** Replaces the applied entries, if there are any, by a snapshot of the state. */
    List<RaftAction> compact(ByteString state, HardState hardState) {
        if (appliedIndex == log.snapshotIndex()) {
            return ImmutableList.of();
        }
        log.compact(appliedIndex);
        snapshot = state;
        return ImmutableList.of(saveSnapshot(hardState));
    }

    private RaftAction saveSnapshot(HardState hardState) {
        ImmutableList<LogEntry> suffix = log.entriesFrom(log.snapshotIndex() + 1, Integer.MAX_VALUE);
        persistedIndex = log.lastIndex();
        return new RaftAction.SaveSnapshot(
                log.snapshotIndex(),
                log.termAt(log.snapshotIndex()),
                snapshot,
                log.voters().at(log.snapshotIndex()),
                hardState,
                suffix);
    }
}
