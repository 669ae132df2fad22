package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * One voter of the replicated log.
 *
 * <p>The protocol is Raft as published by Ongaro and Ousterhout ("In Search of an Understandable Consensus Algorithm",
 * 2014), with the pre-vote, the check of the leader's quorum and the read rounds of Ongaro's dissertation (sections
 * 9.6, 6.2 and 6.4). Where it departs is listed in {@code docs/design/agreement.md}.
 *
 * <p>Invariants: at most one leader in a term; a committed entry is in the log of every later leader; an entry is
 * applied once, in order, after a quorum of voters has synced it. No promise rests on a clock: time decides only when
 * to ask for an election and when a leader without a quorum resigns.
 *
 * <p>Not safe for use by several threads. An event costs time in proportion to the voters and the entries it moves.
 */
public final class RaftNode {
    private static final int MAX_UNCOMMITTED = 4_096;

    private final String self;
    private final ImmutableSortedSet<String> voters;
    private final RandomGenerator random;
    private final long heartbeatNanos;
    private final long electionNanos;
    private final RaftLog log;
    private final FollowerTable followers;
    private final Map<Long, Long> tokensByIndex = new TreeMap<>();
    private final ReadRounds reads = new ReadRounds();
    private final Ballot ballot;
    private ByteString snapshot;
    private long term;
    private String votedFor;
    private RaftRole role = RaftRole.FOLLOWER;
    private Optional<String> leader = Optional.empty();
    private long commitIndex;
    private long appliedIndex;
    private long persistedIndex;
    private long electionDueNanos;
    private long lastHeardLeaderNanos;
    private boolean heardLeader;
    private long leaderCommitIndex;

    /**
     * Creates a voter from what it has stored.
     *
     * @param self the voter's name, one of the voters
     * @param voters the names of all voters
     */
    public RaftNode(
            String self,
            ImmutableSortedSet<String> voters,
            RaftTimings timings,
            StoredState stored,
            RandomGenerator random,
            long nowNanos) {
        checkArgument(voters.contains(self), "%s is not among the voters %s", self, voters);
        this.self = self;
        this.voters = voters;
        this.random = random;
        this.heartbeatNanos = timings.heartbeat().toNanos();
        this.electionNanos = timings.election().toNanos();
        this.log = new RaftLog(stored.snapshotIndex(), stored.snapshotTerm(), stored.entries());
        this.snapshot = stored.snapshot();
        this.term = stored.hardState().getTerm();
        this.votedFor = stored.hardState().getVotedFor();
        this.commitIndex = stored.snapshotIndex();
        this.appliedIndex = stored.snapshotIndex();
        this.persistedIndex = log.lastIndex();
        this.ballot = new Ballot(voters.size());
        this.followers = new FollowerTable(self, voters);
        restartElectionTimer(nowNanos);
    }

    /** Looks at the time: heartbeats, elections, resignation. Call it several times in a heartbeat. */
    public List<RaftAction> tick(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role == RaftRole.LEADER) {
            if (!followers.hearsQuorum(nowNanos, 2 * electionNanos)) {
                becomeFollower(term, Optional.empty(), nowNanos, actions);
                return actions;
            }
            followers.sendHeartbeats(view(), heartbeatNanos, nowNanos, actions);
        } else if (nowNanos - electionDueNanos >= 0) {
            startPreVote(nowNanos, actions);
        }
        return actions;
    }

    /** Takes a message from another voter. */
    public List<RaftAction> receive(RaftMessage message, long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (!voters.contains(message.getFrom()) || !message.getTo().equals(self)) {
            return actions;
        }
        boolean asksOnly = message.getKind() == RaftMessage.Kind.PRE_VOTE
                || (message.getKind() == RaftMessage.Kind.PRE_VOTE_REPLY && message.getAccepted());
        boolean disturbs = message.getKind() == RaftMessage.Kind.VOTE && hasLiveLeader(nowNanos);
        if (message.getTerm() > term && !asksOnly && !disturbs) {
            becomeFollower(message.getTerm(), Optional.empty(), nowNanos, actions);
        }
        switch (message.getKind()) {
            case PRE_VOTE -> answerPreVote(message, nowNanos, actions);
            case PRE_VOTE_REPLY -> countPreVote(message, nowNanos, actions);
            case VOTE -> answerVote(message, nowNanos, actions);
            case VOTE_REPLY -> countVote(message, nowNanos, actions);
            case APPEND -> takeAppend(message, nowNanos, actions);
            case APPEND_REPLY, SNAPSHOT_REPLY -> takeAppendReply(message, nowNanos, actions);
            case SNAPSHOT -> takeSnapshot(message, nowNanos, actions);
            default -> {
                // A kind of a newer program: not understood, so not answered.
            }
        }
        return actions;
    }

    /**
     * Takes a command for the log. It is appended, and sent with the next {@link #flush}.
     *
     * @param token given back when the command is applied or lost
     * @return false if this voter is not the leader or has too much unacknowledged; the command was not taken
     */
    public boolean propose(long token, ByteString command) {
        if (role != RaftRole.LEADER || log.lastIndex() - commitIndex >= MAX_UNCOMMITTED) {
            return false;
        }
        long index = log.lastIndex() + 1;
        log.append(LogEntry.newBuilder()
                .setTerm(term)
                .setIndex(index)
                .setCommand(command)
                .build());
        tokensByIndex.put(index, token);
        return true;
    }

    /** Stores and sends what was proposed since the last flush, and begins the rounds for new reads. */
    public List<RaftAction> flush(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role != RaftRole.LEADER) {
            return actions;
        }
        boolean newRound = reads.beginRound();
        if (log.lastIndex() == persistedIndex && !newRound) {
            return actions;
        }
        persistOwnEntries(actions);
        followers.sendNew(view(), newRound, nowNanos, actions);
        advanceCommit(actions);
        return actions;
    }

    /**
     * Takes a read. It is answered by {@link RaftAction.ReadReady} once a quorum has confirmed, after this call, that
     * this voter leads.
     *
     * @return false if this voter is not a leader that has committed in its term
     */
    public boolean read(long token) {
        if (role != RaftRole.LEADER || log.termAt(commitIndex) != term) {
            return false;
        }
        reads.add(token, commitIndex);
        return true;
    }

    /** Replaces the log up to the applied index by a snapshot of the state. */
    public List<RaftAction> compact(ByteString state) {
        if (appliedIndex == log.snapshotIndex()) {
            return ImmutableList.of();
        }
        log.compact(appliedIndex);
        snapshot = state;
        return ImmutableList.of(saveSnapshot());
    }

    /**
     * Returns true if this voter leads, or has heard of late from a leader and has applied all that the leader then
     * said was agreed.
     */
    public boolean isInTouch(long nowNanos) {
        if (role == RaftRole.LEADER) {
            return log.termAt(commitIndex) == term;
        }
        boolean heardLately = heardLeader && nowNanos - lastHeardLeaderNanos < 2 * electionNanos;
        return heardLately && appliedIndex >= leaderCommitIndex;
    }

    /** Returns the present role. */
    public RaftRole role() {
        return role;
    }

    /** Returns the present term. */
    public long term() {
        return term;
    }

    /** Returns the leader of the present term, if one is known. */
    public Optional<String> leader() {
        return leader;
    }

    /** Returns the index up to which entries were given out to be applied. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Returns how many entries were applied since the snapshot. */
    public long appliedSinceSnapshot() {
        return appliedIndex - log.snapshotIndex();
    }

    private void startPreVote(long nowNanos, List<RaftAction> actions) {
        restartElectionTimer(nowNanos);
        changeRole(RaftRole.PRE_CANDIDATE, Optional.empty(), actions);
        ballot.begin(self);
        if (ballot.isWon()) {
            startElection(nowNanos, actions);
            return;
        }
        broadcast(RaftMessage.Kind.PRE_VOTE, term + 1, actions);
    }

    private void startElection(long nowNanos, List<RaftAction> actions) {
        term++;
        votedFor = self;
        restartElectionTimer(nowNanos);
        changeRole(RaftRole.CANDIDATE, Optional.empty(), actions);
        actions.add(persistHardState());
        ballot.begin(self);
        if (ballot.isWon()) {
            becomeLeader(nowNanos, actions);
            return;
        }
        broadcast(RaftMessage.Kind.VOTE, term, actions);
    }

    private void broadcast(RaftMessage.Kind kind, long messageTerm, List<RaftAction> actions) {
        for (String voter : voters) {
            if (!voter.equals(self)) {
                actions.add(new RaftAction.Send(message(kind, voter, messageTerm)
                        .setLastIndex(log.lastIndex())
                        .setLastTerm(log.lastTerm())
                        .build()));
            }
        }
    }

    private void answerPreVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        boolean granted = request.getTerm() > term && !hasLiveLeader(nowNanos) && isUpToDate(request);
        long replyTerm = granted ? request.getTerm() : term;
        actions.add(new RaftAction.Send(message(RaftMessage.Kind.PRE_VOTE_REPLY, request.getFrom(), replyTerm)
                .setAccepted(granted)
                .build()));
    }

    private void countPreVote(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.PRE_CANDIDATE || !reply.getAccepted() || reply.getTerm() != term + 1) {
            return;
        }
        ballot.grant(reply.getFrom());
        if (ballot.isWon()) {
            startElection(nowNanos, actions);
        }
    }

    private void answerVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() > term) {
            // The leader is alive: the candidate is not helped, and not made to raise its term either.
            return;
        }
        boolean free = votedFor.isEmpty() || votedFor.equals(request.getFrom());
        boolean granted = request.getTerm() == term && free && role != RaftRole.LEADER && isUpToDate(request);
        if (granted) {
            votedFor = request.getFrom();
            restartElectionTimer(nowNanos);
            actions.add(persistHardState());
        }
        actions.add(new RaftAction.Send(message(RaftMessage.Kind.VOTE_REPLY, request.getFrom(), term)
                .setAccepted(granted)
                .build()));
    }

    private void countVote(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.CANDIDATE || !reply.getAccepted() || reply.getTerm() != term) {
            return;
        }
        ballot.grant(reply.getFrom());
        if (ballot.isWon()) {
            becomeLeader(nowNanos, actions);
        }
    }

    private void becomeLeader(long nowNanos, List<RaftAction> actions) {
        changeRole(RaftRole.LEADER, Optional.of(self), actions);
        followers.reset(log.lastIndex() + 1, nowNanos);
        log.append(LogEntry.newBuilder()
                .setTerm(term)
                .setIndex(log.lastIndex() + 1)
                .build());
        actions.addAll(flush(nowNanos));
    }

    private void becomeFollower(long newTerm, Optional<String> newLeader, long nowNanos, List<RaftAction> actions) {
        if (role == RaftRole.LEADER) {
            tokensByIndex.values().forEach(token -> actions.add(new RaftAction.ProposalLost(token)));
            tokensByIndex.clear();
            reads.failAll(actions);
            persistOwnEntries(actions);
            restartElectionTimer(nowNanos);
        }
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            actions.add(persistHardState());
        }
        changeRole(RaftRole.FOLLOWER, newLeader, actions);
    }

    private void takeAppend(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            actions.add(appendReply(request, false, log.lastIndex()));
            return;
        }
        hearLeader(request.getFrom(), nowNanos, actions);
        leaderCommitIndex = request.getCommitIndex();
        long previous = request.getLastIndex();
        if (previous < log.snapshotIndex()) {
            actions.add(appendReply(request, true, log.snapshotIndex()));
            return;
        }
        if (log.termAt(previous) != request.getLastTerm()) {
            actions.add(appendReply(request, false, Math.min(previous - 1, log.lastIndex())));
            return;
        }
        appendFrom(request, actions);
        long match = previous + request.getEntriesCount();
        commitTo(Math.min(request.getCommitIndex(), match), actions);
        actions.add(appendReply(request, true, match));
    }

    private void appendFrom(RaftMessage request, List<RaftAction> actions) {
        ImmutableList.Builder<LogEntry> added = ImmutableList.builder();
        Optional<Long> truncateFrom = Optional.empty();
        for (LogEntry entry : request.getEntriesList()) {
            if (log.termAt(entry.getIndex()) == entry.getTerm()) {
                continue;
            }
            if (log.holds(entry.getIndex())) {
                checkArgument(entry.getIndex() > commitIndex, "a committed entry would be replaced");
                log.truncateFrom(entry.getIndex());
                truncateFrom = Optional.of(entry.getIndex());
            }
            log.append(entry);
            added.add(entry);
        }
        ImmutableList<LogEntry> entries = added.build();
        if (!entries.isEmpty()) {
            actions.add(new RaftAction.Persist(Optional.empty(), truncateFrom, entries));
        }
        persistedIndex = log.lastIndex();
    }

    private void takeSnapshot(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            return;
        }
        hearLeader(request.getFrom(), nowNanos, actions);
        if (request.getLastIndex() > commitIndex) {
            log.reset(request.getLastIndex(), request.getLastTerm());
            snapshot = request.getSnapshot();
            commitIndex = request.getLastIndex();
            appliedIndex = request.getLastIndex();
            persistedIndex = log.lastIndex();
            actions.add(saveSnapshot());
            actions.add(new RaftAction.RestoreSnapshot(snapshot));
        }
        actions.add(new RaftAction.Send(message(RaftMessage.Kind.SNAPSHOT_REPLY, request.getFrom(), term)
                .setAccepted(true)
                .setLastIndex(request.getLastIndex())
                .build()));
    }

    private void takeAppendReply(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.LEADER || reply.getTerm() != term) {
            return;
        }
        followers.acknowledge(reply, nowNanos);
        advanceCommit(actions);
        followers.sendRest(reply.getFrom(), view(), nowNanos, actions);
    }

    private FollowerTable.LeaderView view() {
        return new FollowerTable.LeaderView(term, commitIndex, reads.currentRound(), log, snapshot);
    }

    private void persistOwnEntries(List<RaftAction> actions) {
        if (log.lastIndex() > persistedIndex) {
            ImmutableList<LogEntry> entries = log.from(persistedIndex + 1, Integer.MAX_VALUE);
            actions.add(new RaftAction.Persist(Optional.empty(), Optional.empty(), entries));
            persistedIndex = log.lastIndex();
        }
    }

    private void advanceCommit(List<RaftAction> actions) {
        long candidate = followers.quorumMatch(persistedIndex);
        if (candidate > commitIndex && log.termAt(candidate) == term) {
            commitTo(candidate, actions);
        }
        reads.confirm(followers.quorumRound(reads.currentRound()), appliedIndex, actions);
    }

    private void commitTo(long index, List<RaftAction> actions) {
        commitIndex = Math.max(commitIndex, index);
        while (appliedIndex < commitIndex) {
            appliedIndex++;
            Optional<Long> token = Optional.ofNullable(tokensByIndex.remove(appliedIndex));
            actions.add(new RaftAction.Apply(log.entryAt(appliedIndex), token));
        }
    }

    private void hearLeader(String from, long nowNanos, List<RaftAction> actions) {
        heardLeader = true;
        lastHeardLeaderNanos = nowNanos;
        restartElectionTimer(nowNanos);
        changeRole(RaftRole.FOLLOWER, Optional.of(from), actions);
    }

    private boolean hasLiveLeader(long nowNanos) {
        return role == RaftRole.LEADER || (heardLeader && nowNanos - lastHeardLeaderNanos < electionNanos);
    }

    private boolean isUpToDate(RaftMessage request) {
        return request.getLastTerm() > log.lastTerm()
                || (request.getLastTerm() == log.lastTerm() && request.getLastIndex() >= log.lastIndex());
    }

    private void changeRole(RaftRole newRole, Optional<String> newLeader, List<RaftAction> actions) {
        if (role != newRole || !leader.equals(newLeader)) {
            role = newRole;
            leader = newLeader;
            actions.add(new RaftAction.RoleChanged(role, term, leader));
        }
    }

    private void restartElectionTimer(long nowNanos) {
        electionDueNanos = nowNanos + electionNanos + random.nextLong(electionNanos);
    }

    private RaftAction persistHardState() {
        return new RaftAction.Persist(Optional.of(hardState()), Optional.empty(), ImmutableList.of());
    }

    private RaftAction saveSnapshot() {
        ImmutableList<LogEntry> suffix = log.from(log.snapshotIndex() + 1, Integer.MAX_VALUE);
        persistedIndex = log.lastIndex();
        return new RaftAction.SaveSnapshot(
                log.snapshotIndex(), log.termAt(log.snapshotIndex()), snapshot, hardState(), suffix);
    }

    private HardState hardState() {
        return HardState.newBuilder().setTerm(term).setVotedFor(votedFor).build();
    }

    private RaftAction appendReply(RaftMessage request, boolean accepted, long index) {
        return new RaftAction.Send(message(RaftMessage.Kind.APPEND_REPLY, request.getFrom(), term)
                .setAccepted(accepted)
                .setLastIndex(index)
                .setRound(request.getRound())
                .build());
    }

    private RaftMessage.Builder message(RaftMessage.Kind kind, String to, long messageTerm) {
        return RaftMessage.newBuilder().setKind(kind).setFrom(self).setTo(to).setTerm(messageTerm);
    }
}
