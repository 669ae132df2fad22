package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import org.bramblerack.wire.LogEntry;
import org.bramblerack.wire.RaftMessage;

/**
 * Tracks the replication progress of a leader's followers and creates the messages to them.
 *
 * <p>Appends are pipelined, with at most {@value #MAX_UNACKNOWLEDGED_ENTRIES} unacknowledged entries for each follower.
 * A follower that missed entries rejects the next append and names the last index it has. Not safe for use by several
 * threads.
 */
final class FollowerTable {
    private static final int MAX_ENTRIES_PER_MESSAGE = 512;
    private static final int MAX_UNACKNOWLEDGED_ENTRIES = 4_096;
    private static final long SNAPSHOT_RESEND_NANOS = Duration.ofSeconds(2).toNanos();
    /** A learner without contact for so long is removed; it requests to join again. */
    private static final long LEARNER_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
    /** A host with a contact within the last few heartbeats counts as reachable. */
    static final long RECENT_CONTACT_NANOS = Duration.ofMillis(400).toNanos();

    private final String self;
    private final Map<String, FollowerProgress> followers = new TreeMap<>();
    private ImmutableSortedSet<String> voters = ImmutableSortedSet.of();

    FollowerTable(String self) {
        this.self = self;
    }

    /** The leader's state that its messages to followers are made from. */
    record LeaderView(
            long term,
            long commitIndex,
            long round,
            RaftLog log,
            ByteString snapshot,
            ImmutableSortedSet<String> snapshotVoters) {}

    void reset(ImmutableSortedSet<String> newVoters, long nextIndex, long nowNanos) {
        followers.clear();
        setVoters(newVoters, nextIndex, nowNanos);
    }

    /** Sets the voters. A former voter stays as a learner until it is removed for silence. */
    void setVoters(ImmutableSortedSet<String> newVoters, long nextIndex, long nowNanos) {
        voters = newVoters;
        for (String voter : voters) {
            addFollower(voter, nextIndex, nowNanos);
        }
    }

    /** Starts replication to a host, unless it has started already. */
    void addFollower(String host, long nextIndex, long nowNanos) {
        if (!host.equals(self)) {
            followers.computeIfAbsent(host, unused -> new FollowerProgress(nextIndex, nowNanos));
        }
    }

    /** Stops replication to learners without contact for {@link #LEARNER_TIMEOUT_NANOS}. */
    void removeSilentLearners(long nowNanos) {
        followers
                .entrySet()
                .removeIf(entry -> !voters.contains(entry.getKey())
                        && nowNanos - entry.getValue().lastContactNanos > LEARNER_TIMEOUT_NANOS);
    }

    /** Returns the reachable learners whose log contains everything up to an index. */
    ImmutableSortedSet<String> caughtUpLearners(long index, long nowNanos) {
        return followers.entrySet().stream()
                .filter(entry -> !voters.contains(entry.getKey()))
                .filter(entry -> entry.getValue().matchIndex >= index)
                .filter(entry -> nowNanos - entry.getValue().lastContactNanos < RECENT_CONTACT_NANOS)
                .map(Map.Entry::getKey)
                .collect(ImmutableSortedSet.toImmutableSortedSet(String::compareTo));
    }

    /** Returns true if a host is this one or replied within the given time. */
    boolean hasContactWithin(String host, long withinNanos, long nowNanos) {
        FollowerProgress follower = followers.get(host);
        return host.equals(self) || (follower != null && nowNanos - follower.lastContactNanos < withinNanos);
    }

    void sendHeartbeats(LeaderView leader, long heartbeatIntervalNanos, long nowNanos, List<RaftAction> actions) {
        followers.forEach((name, follower) -> {
            if (nowNanos - follower.lastSentNanos >= heartbeatIntervalNanos) {
                send(name, follower, leader, true, nowNanos, actions);
            }
        });
    }

    void sendToAll(LeaderView leader, boolean evenIfEmpty, long nowNanos, List<RaftAction> actions) {
        followers.forEach((name, follower) -> send(name, follower, leader, evenIfEmpty, nowNanos, actions));
    }

    /** Sends the entries that a follower does not have yet, if there are any. */
    void sendRemaining(String name, LeaderView leader, long nowNanos, List<RaftAction> actions) {
        FollowerProgress follower = followers.get(name);
        if (follower != null && follower.nextIndex <= leader.log().lastIndex()) {
            send(name, follower, leader, false, nowNanos, actions);
        }
    }

    void handleReply(RaftMessage reply, long nowNanos) {
        FollowerProgress follower = followers.get(reply.getFrom());
        if (follower == null) {
            return;
        }
        follower.lastContactNanos = nowNanos;
        follower.ackedRound = Math.max(follower.ackedRound, reply.getRound());
        if (reply.getKind() == RaftMessage.Kind.SNAPSHOT_REPLY) {
            follower.awaitingSnapshotReply = false;
        }
        if (reply.getAccepted()) {
            follower.matchIndex = Math.max(follower.matchIndex, reply.getLastIndex());
            follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1);
            follower.probing = false;
        } else {
            rewind(follower, reply.getLastIndex() + 1);
        }
    }

    /**
     * Moves a follower's next index back after a rejected append and starts probing. Rejections of appends that were
     * sent before the first rejection arrived have no further effect.
     */
    private static void rewind(FollowerProgress follower, long index) {
        long next = Math.max(follower.matchIndex + 1, Math.min(follower.nextIndex, index));
        if (!follower.probing || next < follower.nextIndex) {
            follower.nextIndex = next;
            follower.probing = true;
            follower.probeSent = false;
        }
    }

    boolean hasQuorumContact(long nowNanos, long withinNanos) {
        long reachable = voters.stream()
                .filter(voter -> hasContactWithin(voter, withinNanos, nowNanos))
                .count();
        return reachable > voters.size() / 2;
    }

    /** Returns the highest index that a quorum has synced. */
    long quorumMatch(long ownIndex) {
        return quorumOf(follower -> follower.matchIndex, ownIndex);
    }

    /** Returns the highest read round that a quorum has confirmed. */
    long quorumRound(long ownRound) {
        return quorumOf(follower -> follower.ackedRound, ownRound);
    }

    private long quorumOf(ToLongFunction<FollowerProgress> value, long ownValue) {
        long[] values = new long[voters.size()];
        int position = 0;
        for (String voter : voters) {
            FollowerProgress follower = followers.get(voter);
            values[position] = voter.equals(self) ? ownValue : follower == null ? 0 : value.applyAsLong(follower);
            position++;
        }
        Arrays.sort(values);
        return values[(voters.size() - 1) / 2];
    }

    private void send(
            String to,
            FollowerProgress follower,
            LeaderView leader,
            boolean evenIfEmpty,
            long nowNanos,
            List<RaftAction> actions) {
        RaftLog log = leader.log();
        if (follower.nextIndex <= log.snapshotIndex()) {
            sendSnapshot(to, follower, leader, nowNanos, actions);
            if (evenIfEmpty) {
                sendEntries(to, follower, leader, log.snapshotIndex(), ImmutableList.of(), nowNanos, actions);
            }
            return;
        }
        if (follower.probing && follower.probeSent && !evenIfEmpty) {
            return;
        }
        long sendable = follower.matchIndex + MAX_UNACKNOWLEDGED_ENTRIES - follower.nextIndex + 1;
        int maxEntries = (int) Math.max(0, Math.min(MAX_ENTRIES_PER_MESSAGE, sendable));
        ImmutableList<LogEntry> entries = log.entriesFrom(follower.nextIndex, maxEntries);
        if (evenIfEmpty || !entries.isEmpty()) {
            sendEntries(to, follower, leader, follower.nextIndex - 1, entries, nowNanos, actions);
            if (follower.probing) {
                follower.probeSent = true;
            } else {
                follower.nextIndex += entries.size();
            }
        }
    }

    private void sendEntries(
            String to,
            FollowerProgress follower,
            LeaderView leader,
            long previous,
            ImmutableList<LogEntry> entries,
            long nowNanos,
            List<RaftAction> actions) {
        actions.add(new RaftAction.Send(message(RaftMessage.Kind.APPEND, to, leader)
                .setLastIndex(previous)
                .setLastTerm(leader.log().termAt(previous))
                .setCommitIndex(leader.commitIndex())
                .setRound(leader.round())
                .addAllEntries(entries)
                .build()));
        follower.lastSentNanos = nowNanos;
    }

    private void sendSnapshot(
            String to, FollowerProgress follower, LeaderView leader, long nowNanos, List<RaftAction> actions) {
        if (follower.awaitingSnapshotReply && nowNanos - follower.snapshotSentNanos < SNAPSHOT_RESEND_NANOS) {
            return;
        }
        follower.awaitingSnapshotReply = true;
        follower.snapshotSentNanos = nowNanos;
        long index = leader.log().snapshotIndex();
        actions.add(new RaftAction.Send(message(RaftMessage.Kind.SNAPSHOT, to, leader)
                .setLastIndex(index)
                .setLastTerm(leader.log().termAt(index))
                .setSnapshot(leader.snapshot())
                .addAllSnapshotVoters(leader.snapshotVoters())
                .build()));
    }

    private RaftMessage.Builder message(RaftMessage.Kind kind, String to, LeaderView leader) {
        return RaftMessage.newBuilder().setKind(kind).setFrom(self).setTo(to).setTerm(leader.term());
    }
}
