package org.bramblerack.daemon.control;

import org.bramblerack.wire.CommandResult;

/** What came of a command offered to the agreement. */
public sealed interface ProposalResult {
    /** It was agreed and applied. */
    record Applied(CommandResult result) implements ProposalResult {}

    /** It was not taken, and never will be. */
    record Rejected(String reason) implements ProposalResult {}

    /** It may or may not be agreed; offering it again is safe, as commands carry identifiers. */
    record Undecided(String reason) implements ProposalResult {}
}
