package org.bramblerack.daemon.control;

import org.bramblerack.wire.CommandResult;

/** The result of a proposed command. */
public sealed interface ProposalResult {
    /** The command was committed and applied. */
    record Applied(CommandResult result) implements ProposalResult {}

    /** The command was not appended to the log and will not be. */
    record Rejected(String reason) implements ProposalResult {}

    /** The command may or may not be committed; proposing it again is safe, see {@link ControlClient}. */
    record Undecided(String reason) implements ProposalResult {}
}
