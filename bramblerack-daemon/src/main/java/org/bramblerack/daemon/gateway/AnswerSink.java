package org.bramblerack.daemon.gateway;

import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;

/** Receives the result of a scattered query: exactly one call of {@code deliver} or {@code refuse}. */
interface AnswerSink {
    /** Delivers the final answer. */
    void deliver(MergedAnswer answer);

    /** Delivers a partial answer of a query with incremental delivery; more may follow. */
    default void deliverPartial(MergedAnswer partial) {
        throw new UnsupportedOperationException("this sink does not accept partial answers; use single delivery");
    }

    /** Ends the query without an answer. */
    void refuse(RefusalReason reason);

    /** Returns the host that the answer is for; empty if it is for a caller of this host. */
    default String onBehalfOf() {
        return "";
    }
}
