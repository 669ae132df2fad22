package org.bramblerack.process.agreement;

/** The role of a voter in the Raft protocol. */
public enum RaftRole {
    /** Replicates the log of a leader, or waits for one. */
    FOLLOWER,
    /** Runs a pre-vote, to find out whether it could win an election. */
    PRE_CANDIDATE,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Accepts proposals and replicates them. */
    LEADER
}
