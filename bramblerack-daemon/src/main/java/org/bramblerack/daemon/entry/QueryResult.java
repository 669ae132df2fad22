package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import org.bramblerack.request.Answer;
import org.bramblerack.request.Refusal;

/** The result of a caller's query or once-only request. */
public sealed interface QueryResult {
    /** A query was answered. */
    record Answered(Answer answer) implements QueryResult {}

    /**
     * A once-only request ran.
     *
     * @param replayed true if this is the recorded answer of an earlier run
     */
    record Ran(ByteString answer, boolean replayed) implements QueryResult {}

    /** The request was refused. */
    record Refused(Refusal refusal) implements QueryResult {}
}
