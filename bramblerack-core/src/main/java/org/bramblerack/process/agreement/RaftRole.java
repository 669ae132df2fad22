package org.bramblerack.process.agreement;

/** What a voter presently is in the log protocol. */
public enum RaftRole {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether an election could be won, without disturbing anyone. */
    PRE_CANDIDATE,
    /** Asks for votes. */
    CANDIDATE,
    /** Appends to the log. */
    LEADER
}
