package org.bramblerack.daemon.entry;

import com.google.protobuf.ByteString;
import org.bramblerack.request.Answer;
import org.bramblerack.request.Refusal;

/** What a caller gets. */
public sealed interface QueryResult {
    /** The answer to a query. */
    record Answered(Answer answer) implements QueryResult {}

    /** A once-only request ran; replayed is true if it ran before and this is its recorded answer. */
    record Ran(ByteString answer, boolean replayed) implements QueryResult {}

    /** The request is refused. */
    record Refused(Refusal refusal) implements QueryResult {}
}
