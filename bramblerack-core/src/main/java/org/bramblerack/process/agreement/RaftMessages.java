package org.bramblerack.process.agreement;

import com.google.common.collect.ImmutableSortedSet;
import java.util.List;
import org.bramblerack.wire.RaftMessage;

/** Creates the Raft messages that one host sends. Immutable and safe for use by many threads. */
final class RaftMessages {
    private final String self;

    RaftMessages(String self) {
        this.self = self;
    }

    RaftMessage.Builder message(RaftMessage.Kind kind, String to, long term) {
        return RaftMessage.newBuilder().setKind(kind).setFrom(self).setTo(to).setTerm(term);
    }

    /** Requests the votes, or the pre-votes, of all other voters. */
    void requestVotes(
            RaftMessage.Kind kind,
            ImmutableSortedSet<String> voters,
            long term,
            RaftLog log,
            List<RaftAction> actions) {
        for (String voter : voters) {
            if (!voter.equals(self)) {
                actions.add(new RaftAction.Send(message(kind, voter, term)
                        .setLastIndex(log.lastIndex())
                        .setLastTerm(log.lastTerm())
                        .build()));
            }
        }
    }

    RaftAction voteReply(RaftMessage.Kind kind, String to, long term, boolean granted) {
        return new RaftAction.Send(message(kind, to, term).setAccepted(granted).build());
    }

    /** Replies to an append with the last matching index, or with the index to resume after if it was rejected. */
    RaftAction appendReply(RaftMessage request, long term, boolean accepted, long index) {
        return new RaftAction.Send(message(RaftMessage.Kind.APPEND_REPLY, request.getFrom(), term)
                .setAccepted(accepted)
                .setLastIndex(index)
                .setRound(request.getRound())
                .build());
    }

    RaftAction snapshotReply(RaftMessage request, long term) {
        return new RaftAction.Send(message(RaftMessage.Kind.SNAPSHOT_REPLY, request.getFrom(), term)
                .setAccepted(true)
                .setLastIndex(request.getLastIndex())
                .build());
    }
}
