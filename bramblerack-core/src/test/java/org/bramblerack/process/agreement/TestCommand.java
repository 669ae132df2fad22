package org.bramblerack.process.agreement;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bramblerack.wire.ApplyDeclaration;
import org.bramblerack.wire.ClaimRequest;
import org.bramblerack.wire.Command;
import org.bramblerack.wire.LogEntry;

/** Commands that carry a token, by which they are identified among the committed entries. */
final class TestCommand {
    private static final int CLAIMED_REQUESTS = 3;

    private TestCommand() {}

    /** Returns a declaration change for an even choice, a claim for an odd one. */
    static Command of(int choice, long token, long revision) {
        return choice % 2 == 0
                ? Command.newBuilder()
                        .setApplyDeclaration(ApplyDeclaration.newBuilder()
                                .setPartner("p")
                                .setChangeId(Long.toString(token))
                                .setExpectedRevision(revision)
                                .setText("text " + token))
                        .build()
                : Command.newBuilder()
                        .setClaim(ClaimRequest.newBuilder()
                                .setService("s")
                                .setRequestId("r" + choice % CLAIMED_REQUESTS)
                                .setAttempt(Long.toString(token))
                                .setAtMillis(1)
                                .setRetentionMillis(1_000_000))
                        .build();
    }

    /** Returns the token of an entry, or 0 if it has none. */
    static long tokenOf(LogEntry entry) {
        try {
            Command command = Command.parseFrom(entry.getCommand());
            return command.hasClaim()
                    ? Long.parseLong(command.getClaim().getAttempt())
                    : Long.parseLong("0" + command.getApplyDeclaration().getChangeId());
        } catch (InvalidProtocolBufferException impossible) {
            throw new AssertionError(impossible);
        }
    }
}
