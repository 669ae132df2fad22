package org.bramblerack.process.agreement;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bramblerack.wire.HardState;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * One Raft node: a voter or a learner of the replicated log.
 *
 * <p>The protocol is Raft as published by Ongaro and Ousterhout ("In Search of an Understandable Consensus Algorithm",
 * 2014), with the pre-vote, the leader's quorum check and the read rounds of Ongaro's dissertation (sections 9.6, 6.2
 * and 6.4). Differences are listed in {@code docs/design/agreement.md}.
 *
 * <p>Membership changes add or remove one voter at a time, by a log entry that takes effect when it is appended
 * (section 4.1 of the dissertation). A host that is not a voter receives the log as a learner when it requests to join,
 * and becomes a voter when it has caught up and {@link VoterPolicy} adds it.
 *
 * <p>Invariants: at most one leader in a term; a committed entry is in the log of every later leader; an entry is
 * applied once, in order, after a quorum of voters has synced it. Safety does not depend on clocks: time decides only
 * when to start an election and when a leader without a quorum steps down.
 *
 * <p>Not safe for use by several threads. A call takes time in proportion to the voters and the entries it handles.
 */
public final class RaftNode {
    private static final int MAX_UNCOMMITTED_ENTRIES = 4_096;

    private final String self;
    private final ElectionTimer timer;
    private final long heartbeatIntervalNanos;
    private final long electionTimeoutNanos;
    private final Replica replica;
    private final RaftLog log;
    private final FollowerTable followers;
    private final ReadRounds reads = new ReadRounds();
    private final RaftMessages messages;
    private final VoteCount voteCount = new VoteCount();
    private final VoterPolicy policy;
    private long term;
    private String votedFor;
    private RaftRole role = RaftRole.FOLLOWER;
    private Optional<String> leader = Optional.empty();
    private long leaderCommitIndex;

    /**
     * Creates a node from stored state.
     *
     * @param self this host's name; it votes only while it is one of the voters
     * @param initialVoters the voters that the cluster started with; empty for a host that joins later
     * @param tolerableFailures how many voters may fail at the same time
     */
    public RaftNode(
            String self,
            ImmutableSortedSet<String> initialVoters,
            int tolerableFailures,
            RaftTimings timings,
            StoredState stored,
            RandomGenerator random,
            long nowNanos) {
        checkArgument(tolerableFailures >= 0, "tolerableFailures must not be negative: %s", tolerableFailures);
        this.self = self;
        this.messages = new RaftMessages(self);
        this.policy = new VoterPolicy(tolerableFailures);
        this.timer = new ElectionTimer(timings.electionTimeout().toNanos(), random, nowNanos);
        this.heartbeatIntervalNanos = timings.heartbeatInterval().toNanos();
        this.electionTimeoutNanos = timings.electionTimeout().toNanos();
        this.replica = new Replica(stored, initialVoters);
        this.log = replica.log();
        this.term = stored.hardState().getTerm();
        this.votedFor = stored.hardState().getVotedFor();
        this.followers = new FollowerTable(self);
    }

    /** Sends heartbeats, starts elections and steps down as due. Call it several times per heartbeat interval. */
    public List<RaftAction> tick(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role == RaftRole.LEADER) {
            if (!followers.hasQuorumContact(nowNanos, 2 * electionTimeoutNanos)) {
                becomeFollower(term, Optional.empty(), nowNanos, actions);
                return actions;
            }
            changeVotersIfDue(nowNanos, actions);
            followers.sendHeartbeats(leaderView(), heartbeatIntervalNanos, nowNanos, actions);
        } else if (isVoter() && timer.isDue(nowNanos)) {
            startPreVote(nowNanos, actions);
        }
        return actions;
    }

    /**
     * Handles the end of a suspension of this host that lasted longer than an election and that the monotonic clock did
     * not count. Another voter may lead by now, so this one steps down and is not up to date until a leader contacts
     * it.
     */
    public List<RaftAction> onResume(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        timer.expireLeaderContact(nowNanos);
        becomeFollower(term, Optional.empty(), nowNanos, actions);
        return actions;
    }

    /** Handles a message from another host. */
    public List<RaftAction> receive(RaftMessage message, long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (!message.getTo().equals(self)) {
            return actions;
        }
        boolean keepsTerm = message.getKind() == RaftMessage.Kind.PRE_VOTE
                || (message.getKind() == RaftMessage.Kind.PRE_VOTE_REPLY && message.getAccepted());
        boolean isDisruptiveVote = message.getKind() == RaftMessage.Kind.VOTE && hasLiveLeader(nowNanos);
        if (message.getTerm() > term && !keepsTerm && !isDisruptiveVote) {
            becomeFollower(message.getTerm(), Optional.empty(), nowNanos, actions);
        }
        switch (message.getKind()) {
            case PRE_VOTE -> handlePreVote(message, nowNanos, actions);
            case PRE_VOTE_REPLY -> handlePreVoteReply(message, nowNanos, actions);
            case VOTE -> handleVote(message, nowNanos, actions);
            case VOTE_REPLY -> handleVoteReply(message, nowNanos, actions);
            case APPEND -> handleAppend(message, nowNanos, actions);
            case APPEND_REPLY, SNAPSHOT_REPLY -> handleAppendReply(message, nowNanos, actions);
            case SNAPSHOT -> handleSnapshot(message, nowNanos, actions);
            default -> {
                // A message kind of a newer release: ignored.
            }
        }
        return actions;
    }

    /**
     * Appends a command to the log; the next {@link #flush} stores and sends it.
     *
     * @param token identifies the command in the {@link RaftAction} that applies or fails it
     * @return false, and nothing is appended, if this voter is not the leader or has too many uncommitted entries
     */
    public boolean propose(long token, ByteString command) {
        if (role != RaftRole.LEADER || replica.uncommittedCount() >= MAX_UNCOMMITTED_ENTRIES) {
            return false;
        }
        replica.appendCommand(command, term, token);
        return true;
    }

    /** Stores and sends the proposals since the last flush, and starts a read round if there are new reads. */
    public List<RaftAction> flush(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role != RaftRole.LEADER) {
            return actions;
        }
        boolean newRound = reads.beginRound();
        if (!replica.hasUnpersisted() && !newRound) {
            return actions;
        }
        replica.persistOwnEntries(actions);
        followers.sendToAll(leaderView(), newRound, nowNanos, actions);
        advanceCommit(actions);
        return actions;
    }

    /**
     * Requests a linearizable read. {@link RaftAction.ReadReady} follows once a quorum has confirmed, after this call,
     * that this voter is the leader.
     *
     * @return false if this voter is not a leader that has committed an entry in its term
     */
    public boolean read(long token) {
        if (role != RaftRole.LEADER || !replica.hasCommittedIn(term)) {
            return false;
        }
        reads.add(token, replica.commitIndex());
        return true;
    }

    /** Replaces the log up to the applied index by a snapshot of the state. */
    public List<RaftAction> compact(ByteString state) {
        return replica.compact(state, hardState());
    }

    /**
     * Returns true if this host leads and has committed an entry in its term, or if it had recent contact with a leader
     * and has applied everything up to the leader's commit index.
     */
    public boolean isUpToDate(long nowNanos) {
        if (role == RaftRole.LEADER) {
            return replica.hasCommittedIn(term);
        }
        return timer.hasLeaderContactWithin(2, nowNanos) && replica.appliedIndex() >= leaderCommitIndex;
    }

    /** Returns the current role. */
    public RaftRole role() {
        return role;
    }

    /** Returns the current term. */
    public long term() {
        return term;
    }

    /** Returns the leader of the current term, if it is known. */
    public Optional<String> leader() {
        return leader;
    }

    /** Returns the index of the last entry for which a {@link RaftAction.Apply} was issued. */
    public long appliedIndex() {
        return replica.appliedIndex();
    }

    /** Returns the number of entries applied since the last snapshot. */
    public long appliedSinceSnapshot() {
        return replica.appliedIndex() - log.snapshotIndex();
    }

    /** Returns true if this host is one of the current voters. */
    public boolean isVoter() {
        return voters().contains(self);
    }

    /** Returns the current voters. */
    public ImmutableSortedSet<String> voters() {
        return replica.voters();
    }

    /** Starts replication to a host that requests to join; no effect if this host is not the leader. */
    public void addLearner(String host, long nowNanos) {
        if (role == RaftRole.LEADER) {
            followers.addFollower(host, log.lastIndex() + 1, nowNanos);
        }
    }

    /** Makes the next single change of the voters, once the last one is committed. */
    private void changeVotersIfDue(long nowNanos, List<RaftAction> actions) {
        boolean lastChangeCommitted =
                log.voters().lastChangeIndex() <= replica.commitIndex() && replica.hasCommittedIn(term);
        ImmutableSortedSet<String> before = voters();
        Optional<ImmutableSortedSet<String>> next = lastChangeCommitted
                ? policy.next(self, before, followers, replica.commitIndex(), nowNanos)
                : Optional.empty();
        if (next.isEmpty()) {
            return;
        }
        replica.append(LogEntry.newBuilder().addAllVoters(next.get()), term);
        followers.setVoters(next.get(), log.lastIndex(), nowNanos);
        reportVoterChange(before, actions);
    }

    private void reportVoterChange(ImmutableSortedSet<String> before, List<RaftAction> actions) {
        if (!before.equals(voters())) {
            actions.add(new RaftAction.VotersChanged(voters()));
        }
    }

    private void startPreVote(long nowNanos, List<RaftAction> actions) {
        timer.restartForRound(nowNanos);
        changeRole(RaftRole.PRE_CANDIDATE, Optional.empty(), actions);
        voteCount.reset(self);
        if (voteCount.hasMajority(voters())) {
            startElection(nowNanos, actions);
            return;
        }
        messages.requestVotes(RaftMessage.Kind.PRE_VOTE, voters(), term + 1, log, actions);
    }

    private void startElection(long nowNanos, List<RaftAction> actions) {
        term++;
        votedFor = self;
        timer.restartForRound(nowNanos);
        changeRole(RaftRole.CANDIDATE, Optional.empty(), actions);
        actions.add(persistHardState());
        voteCount.reset(self);
        if (voteCount.hasMajority(voters())) {
            becomeLeader(nowNanos, actions);
            return;
        }
        messages.requestVotes(RaftMessage.Kind.VOTE, voters(), term, log, actions);
    }

    private void handlePreVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        boolean granted = request.getTerm() > term
                && !hasLiveLeader(nowNanos)
                && log.isNotNewerThan(request.getLastTerm(), request.getLastIndex())
                && !ElectionTieBreaker.hasPrecedence(self, role, timer, log, request);
        if (granted && !timer.hasHadLeaderContact()) {
            timer.deferToCandidate(nowNanos);
            changeRole(RaftRole.FOLLOWER, Optional.empty(), actions);
        }
        long replyTerm = granted ? request.getTerm() : term;
        actions.add(messages.voteReply(RaftMessage.Kind.PRE_VOTE_REPLY, request.getFrom(), replyTerm, granted));
    }

    private void handlePreVoteReply(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.PRE_CANDIDATE || !reply.getAccepted() || reply.getTerm() != term + 1) {
            return;
        }
        voteCount.addVote(reply.getFrom());
        if (voteCount.hasMajority(voters())) {
            startElection(nowNanos, actions);
        }
    }

    private void handleVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() > term) {
            // A leader is active, so the candidate's term was not adopted and the request is ignored.
            return;
        }
        boolean mayVoteFor = votedFor.isEmpty() || votedFor.equals(request.getFrom());
        boolean granted = request.getTerm() == term
                && mayVoteFor
                && role != RaftRole.LEADER
                && log.isNotNewerThan(request.getLastTerm(), request.getLastIndex());
        if (granted) {
            votedFor = request.getFrom();
            timer.restart(nowNanos);
            actions.add(persistHardState());
        }
        actions.add(messages.voteReply(RaftMessage.Kind.VOTE_REPLY, request.getFrom(), term, granted));
    }

    private void handleVoteReply(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.CANDIDATE || !reply.getAccepted() || reply.getTerm() != term) {
            return;
        }
        voteCount.addVote(reply.getFrom());
        if (voteCount.hasMajority(voters())) {
            becomeLeader(nowNanos, actions);
        }
    }

    private void becomeLeader(long nowNanos, List<RaftAction> actions) {
        changeRole(RaftRole.LEADER, Optional.of(self), actions);
        followers.reset(voters(), log.lastIndex() + 1, nowNanos);
        replica.append(LogEntry.newBuilder(), term);
        actions.addAll(flush(nowNanos));
    }

    private void becomeFollower(long newTerm, Optional<String> newLeader, long nowNanos, List<RaftAction> actions) {
        if (role == RaftRole.LEADER) {
            replica.failProposals(actions);
            reads.failAll(actions);
            replica.persistOwnEntries(actions);
            timer.restart(nowNanos);
        }
        if (newTerm > term) {
            term = newTerm;
            votedFor = "";
            actions.add(persistHardState());
        }
        changeRole(RaftRole.FOLLOWER, newLeader, actions);
    }

    private void handleAppend(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            actions.add(messages.appendReply(request, term, false, log.lastIndex()));
            return;
        }
        recordLeaderContact(request.getFrom(), nowNanos, actions);
        leaderCommitIndex = request.getCommitIndex();
        long previous = request.getLastIndex();
        if (previous < log.snapshotIndex()) {
            actions.add(messages.appendReply(request, term, true, log.snapshotIndex()));
            return;
        }
        if (log.termAt(previous) != request.getLastTerm()) {
            actions.add(messages.appendReply(request, term, false, Math.min(previous - 1, log.lastIndex())));
            return;
        }
        ImmutableSortedSet<String> before = voters();
        replica.merge(request.getEntriesList(), actions);
        reportVoterChange(before, actions);
        long match = previous + request.getEntriesCount();
        replica.commitTo(Math.min(request.getCommitIndex(), match), actions);
        actions.add(messages.appendReply(request, term, true, match));
    }

    private void handleSnapshot(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            return;
        }
        recordLeaderContact(request.getFrom(), nowNanos, actions);
        if (request.getLastIndex() > replica.commitIndex()) {
            ImmutableSortedSet<String> before = voters();
            replica.restore(request, hardState(), actions);
            reportVoterChange(before, actions);
        }
        actions.add(messages.snapshotReply(request, term));
    }

    private void handleAppendReply(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.LEADER || reply.getTerm() != term) {
            return;
        }
        followers.handleReply(reply, nowNanos);
        advanceCommit(actions);
        followers.sendRemaining(reply.getFrom(), leaderView(), nowNanos, actions);
    }

    private FollowerTable.LeaderView leaderView() {
        return new FollowerTable.LeaderView(
                term,
                replica.commitIndex(),
                reads.currentRound(),
                log,
                replica.snapshot(),
                log.voters().at(log.snapshotIndex()));
    }

    private void advanceCommit(List<RaftAction> actions) {
        long candidate = followers.quorumMatch(replica.persistedIndex());
        if (candidate > replica.commitIndex() && log.termAt(candidate) == term) {
            replica.commitTo(candidate, actions);
        }
        reads.confirm(followers.quorumRound(reads.currentRound()), replica.appliedIndex(), actions);
    }

    private void recordLeaderContact(String from, long nowNanos, List<RaftAction> actions) {
        timer.recordLeaderContact(nowNanos);
        changeRole(RaftRole.FOLLOWER, Optional.of(from), actions);
    }

    private boolean hasLiveLeader(long nowNanos) {
        return role == RaftRole.LEADER || timer.hasLeaderContactWithin(1, nowNanos);
    }

    private void changeRole(RaftRole newRole, Optional<String> newLeader, List<RaftAction> actions) {
        if (role != newRole || !leader.equals(newLeader)) {
            role = newRole;
            leader = newLeader;
            actions.add(new RaftAction.RoleChanged(role, term, leader));
        }
    }

    private RaftAction persistHardState() {
        return new RaftAction.Persist(Optional.of(hardState()), Optional.empty(), ImmutableList.of());
    }

    private HardState hardState() {
        return HardState.newBuilder().setTerm(term).setVotedFor(votedFor).build();
    }
}
