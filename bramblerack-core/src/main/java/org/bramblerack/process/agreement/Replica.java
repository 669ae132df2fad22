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
 * What one voter holds of the replicated log: how far it is handed to the disk, agreed, and given out to be applied.
 *
 * <p>Invariants: none of the three goes back; what is given out is agreed, and is given out once and in order. Not safe
 * for use by several threads.
 */
final class Replica {
    private final RaftLog log;
    private final Map<Long, Long> tokensByIndex = new TreeMap<>();
    private ByteString snapshot;
    private long commitIndex;
    private long appliedIndex;
    private long persistedIndex;

    /**
     * Creates what a voter holds from what it has stored.
     *
     * @param initialVoters the voters that the system began with
     */
    Replica(StoredState stored, ImmutableSortedSet<String> initialVoters) {
        ImmutableSortedSet<String> voters = stored.snapshotVoters().isEmpty() ? initialVoters : stored.snapshotVoters();
        this.log = new RaftLog(stored.snapshotIndex(), stored.snapshotTerm(), voters, stored.entries());
        this.snapshot = stored.snapshot();
        this.commitIndex = stored.snapshotIndex();
        this.appliedIndex = stored.snapshotIndex();
        this.persistedIndex = log.lastIndex();
    }

    /** Returns the entries since the snapshot, to be read. */
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

    /** Returns true if entries were appended that were not handed to the disk yet. */
    boolean hasUnpersisted() {
        return log.lastIndex() > persistedIndex;
    }

    /** Returns how many entries are not known to be agreed. */
    long uncommittedCount() {
        return log.lastIndex() - commitIndex;
    }

    /** Returns true if the last entry that is known to be agreed is one of the given term. */
    boolean hasCommittedIn(long term) {
        return log.termAt(commitIndex) == term;
    }

    /** Appends an entry of this voter, which leads in the given term. */
    void append(LogEntry.Builder entry, long term) {
        log.append(entry.setTerm(term).setIndex(log.lastIndex() + 1).build());
    }

    /** Appends a command; the token is given back when it is applied or lost. */
    void appendCommand(ByteString command, long term, long token) {
        append(LogEntry.newBuilder().setCommand(command), term);
        tokensByIndex.put(log.lastIndex(), token);
    }

    /** Gives back the tokens of what was proposed here and is not applied: its fate is not known here any more. */
    void failProposals(List<RaftAction> actions) {
        tokensByIndex.values().forEach(token -> actions.add(new RaftAction.ProposalLost(token)));
        tokensByIndex.clear();
    }

    /** Hands the entries that this voter appended to the disk. */
    void persistOwnEntries(List<RaftAction> actions) {
        if (hasUnpersisted()) {
            ImmutableList<LogEntry> entries = log.entriesFrom(persistedIndex + 1, Integer.MAX_VALUE);
            actions.add(new RaftAction.Persist(Optional.empty(), Optional.empty(), entries));
            persistedIndex = log.lastIndex();
        }
    }

    /** Takes the entries of a leader in place of those that contradict them. */
    void merge(List<LogEntry> entries, List<RaftAction> actions) {
        RaftLog.Merge merge = log.merge(entries, commitIndex);
        if (!merge.added().isEmpty()) {
            actions.add(new RaftAction.Persist(Optional.empty(), merge.truncatedFrom(), merge.added()));
        }
        persistedIndex = log.lastIndex();
    }

    /** Notes that the log is agreed up to an index, and gives out what was not given out before. */
    void commitTo(long index, List<RaftAction> actions) {
        commitIndex = Math.max(commitIndex, index);
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            Optional<Long> token = Optional.ofNullable(tokensByIndex.remove(appliedIndex));
            actions.add(new RaftAction.Apply(log.entryAt(appliedIndex), token));
        }
    }

    /** Puts the snapshot of a leader, which is newer than what is agreed here, in place of everything. */
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

    /** Puts a snapshot of the state in place of the entries that were given out, if there are any. */
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
