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
 * One voter of the replicated log.
 *
 * <p>The voters change by one at a time, by an entry of the log that is in force once it is appended (section 4.1 of
 * the dissertation). A host that is not a voter gets the log if it asks for it, and is made a voter when it has caught
 * up and {@link VoterPolicy} wants one.
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
    private final ElectionTimer timer;
    private final long heartbeatNanos;
    private final long electionNanos;
    private final Replica replica;
    private final RaftLog log;
    private final FollowerTable followers;
    private final ReadRounds reads = new ReadRounds();
    private final RaftMessages messages;
    private final Ballot ballot = new Ballot();
    private final VoterPolicy policy;
    private long term;
    private String votedFor;
    private RaftRole role = RaftRole.FOLLOWER;
    private Optional<String> leader = Optional.empty();
    private long leaderCommitIndex;

    /**
     * Creates a voter from what it has stored.
     *
     * @param self this host's name; it votes only while it is one of the voters
     * @param firstVoters the voters that the system began with; empty for a host that came later
     * @param lossesBorne how many voters may be lost at once
     */
    public RaftNode(
            String self,
            ImmutableSortedSet<String> firstVoters,
            int lossesBorne,
            RaftTimings timings,
            StoredState stored,
            RandomGenerator random,
            long nowNanos) {
        checkArgument(lossesBorne >= 0, "%s losses cannot be borne", lossesBorne);
        this.self = self;
        this.messages = new RaftMessages(self);
        this.policy = new VoterPolicy(lossesBorne);
        this.timer = new ElectionTimer(timings.electionTimeout().toNanos(), random, nowNanos);
        this.heartbeatNanos = timings.heartbeatInterval().toNanos();
        this.electionNanos = timings.electionTimeout().toNanos();
        this.replica = new Replica(stored, firstVoters);
        this.log = replica.log();
        this.term = stored.hardState().getTerm();
        this.votedFor = stored.hardState().getVotedFor();
        this.followers = new FollowerTable(self);
    }

    /** Looks at the time: heartbeats, elections, resignation. Call it several times in a heartbeat. */
    public List<RaftAction> tick(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role == RaftRole.LEADER) {
            if (!followers.hearsQuorum(nowNanos, 2 * electionNanos)) {
                becomeFollower(term, Optional.empty(), nowNanos, actions);
                return actions;
            }
            changeVotersIfDue(nowNanos, actions);
            followers.sendHeartbeats(view(), heartbeatNanos, nowNanos, actions);
        } else if (isVoter() && timer.isDue(nowNanos)) {
            startPreVote(nowNanos, actions);
        }
        return actions;
    }

    /**
     * Notes that this host was suspended for longer than an election takes, which the steady clock does not show.
     * Another voter may lead by now, so it leads no more and is in touch only once it has heard of a leader again.
     */
    public List<RaftAction> onResume(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        timer.forgetLeader(nowNanos);
        becomeFollower(term, Optional.empty(), nowNanos, actions);
        return actions;
    }

    /** Takes a message from another voter. */
    public List<RaftAction> receive(RaftMessage message, long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (!message.getTo().equals(self)) {
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
        if (role != RaftRole.LEADER || replica.uncommittedCount() >= MAX_UNCOMMITTED) {
            return false;
        }
        replica.appendCommand(command, term, token);
        return true;
    }

    /** Stores and sends what was proposed since the last flush, and begins the rounds for new reads. */
    public List<RaftAction> flush(long nowNanos) {
        List<RaftAction> actions = new ArrayList<>();
        if (role != RaftRole.LEADER) {
            return actions;
        }
        boolean newRound = reads.beginRound();
        if (!replica.hasUnstored() && !newRound) {
            return actions;
        }
        replica.persistOwnEntries(actions);
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
     * Returns true if this voter leads, or has heard of late from a leader and has applied all that the leader then
     * said was agreed.
     */
    public boolean isUpToDate(long nowNanos) {
        if (role == RaftRole.LEADER) {
            return replica.hasCommittedIn(term);
        }
        return timer.hasHeardWithin(2, nowNanos) && replica.appliedIndex() >= leaderCommitIndex;
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
        return replica.appliedIndex();
    }

    /** Returns how many entries were applied since the snapshot. */
    public long appliedSinceSnapshot() {
        return replica.appliedIndex() - log.snapshotIndex();
    }

    /** Returns true if this host votes. */
    public boolean isVoter() {
        return voters().contains(self);
    }

    /** Returns the voters in force. */
    public ImmutableSortedSet<String> voters() {
        return replica.voters();
    }

    /** Takes the wish of a host to get the log, and to vote once it has it. A host that does not lead ignores it. */
    public void addLearner(String host, long nowNanos) {
        if (role == RaftRole.LEADER) {
            followers.admit(host, log.lastIndex() + 1, nowNanos);
        }
    }

    /** Makes the next single change of the voters, once the last one is agreed. */
    private void changeVotersIfDue(long nowNanos, List<RaftAction> actions) {
        boolean settled = log.voters().lastChangeIndex() <= replica.commitIndex() && replica.hasCommittedIn(term);
        ImmutableSortedSet<String> before = voters();
        Optional<ImmutableSortedSet<String>> next =
                settled ? policy.next(self, before, followers, replica.commitIndex(), nowNanos) : Optional.empty();
        if (next.isEmpty()) {
            return;
        }
        replica.append(LogEntry.newBuilder().addAllVoters(next.get()), term);
        followers.setVoters(next.get(), log.lastIndex(), nowNanos);
        tellVoters(before, actions);
    }

    private void tellVoters(ImmutableSortedSet<String> before, List<RaftAction> actions) {
        if (!before.equals(voters())) {
            actions.add(new RaftAction.VotersChanged(voters()));
        }
    }

    private void startPreVote(long nowNanos, List<RaftAction> actions) {
        timer.awaitRound(nowNanos);
        changeRole(RaftRole.PRE_CANDIDATE, Optional.empty(), actions);
        ballot.begin(self);
        if (ballot.isWon(voters())) {
            startElection(nowNanos, actions);
            return;
        }
        messages.askForVotes(RaftMessage.Kind.PRE_VOTE, voters(), term + 1, log, actions);
    }

    private void startElection(long nowNanos, List<RaftAction> actions) {
        term++;
        votedFor = self;
        timer.awaitRound(nowNanos);
        changeRole(RaftRole.CANDIDATE, Optional.empty(), actions);
        actions.add(persistHardState());
        ballot.begin(self);
        if (ballot.isWon(voters())) {
            becomeLeader(nowNanos, actions);
            return;
        }
        messages.askForVotes(RaftMessage.Kind.VOTE, voters(), term, log, actions);
    }

    private void answerPreVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        boolean granted = request.getTerm() > term
                && !hasLiveLeader(nowNanos)
                && log.isNotNewerThan(request.getLastTerm(), request.getLastIndex())
                && !ElectionOrder.goesFirst(self, role, timer, log, request);
        if (granted && !timer.hasHeardLeader()) {
            timer.giveWay(nowNanos);
            changeRole(RaftRole.FOLLOWER, Optional.empty(), actions);
        }
        long replyTerm = granted ? request.getTerm() : term;
        actions.add(messages.voteReply(RaftMessage.Kind.PRE_VOTE_REPLY, request.getFrom(), replyTerm, granted));
    }

    private void countPreVote(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.PRE_CANDIDATE || !reply.getAccepted() || reply.getTerm() != term + 1) {
            return;
        }
        ballot.grant(reply.getFrom());
        if (ballot.isWon(voters())) {
            startElection(nowNanos, actions);
        }
    }

    private void answerVote(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() > term) {
            // The leader is alive: the candidate is not helped, and not made to raise its term either.
            return;
        }
        boolean free = votedFor.isEmpty() || votedFor.equals(request.getFrom());
        boolean granted = request.getTerm() == term
                && free
                && role != RaftRole.LEADER
                && log.isNotNewerThan(request.getLastTerm(), request.getLastIndex());
        if (granted) {
            votedFor = request.getFrom();
            timer.restart(nowNanos);
            actions.add(persistHardState());
        }
        actions.add(messages.voteReply(RaftMessage.Kind.VOTE_REPLY, request.getFrom(), term, granted));
    }

    private void countVote(RaftMessage reply, long nowNanos, List<RaftAction> actions) {
        if (role != RaftRole.CANDIDATE || !reply.getAccepted() || reply.getTerm() != term) {
            return;
        }
        ballot.grant(reply.getFrom());
        if (ballot.isWon(voters())) {
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
            replica.loseProposals(actions);
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

    private void takeAppend(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            actions.add(messages.appendReply(request, term, false, log.lastIndex()));
            return;
        }
        hearLeader(request.getFrom(), nowNanos, actions);
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
        tellVoters(before, actions);
        long match = previous + request.getEntriesCount();
        replica.commitTo(Math.min(request.getCommitIndex(), match), actions);
        actions.add(messages.appendReply(request, term, true, match));
    }

    private void takeSnapshot(RaftMessage request, long nowNanos, List<RaftAction> actions) {
        if (request.getTerm() < term) {
            return;
        }
        hearLeader(request.getFrom(), nowNanos, actions);
        if (request.getLastIndex() > replica.commitIndex()) {
            ImmutableSortedSet<String> before = voters();
            replica.restore(request, hardState(), actions);
            tellVoters(before, actions);
        }
        actions.add(messages.snapshotReply(request, term));
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

    private void hearLeader(String from, long nowNanos, List<RaftAction> actions) {
        timer.hearLeader(nowNanos);
        changeRole(RaftRole.FOLLOWER, Optional.of(from), actions);
    }

    private boolean hasLiveLeader(long nowNanos) {
        return role == RaftRole.LEADER || timer.hasHeardWithin(1, nowNanos);
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
