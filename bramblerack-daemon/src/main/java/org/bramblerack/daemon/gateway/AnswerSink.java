package org.bramblerack.daemon.gateway;

import org.bramblerack.request.routed.MergedAnswer;
import org.bramblerack.request.routed.RefusalReason;

/** Takes the end of a scattered query: exactly one of the two is called. */
interface AnswerSink {
    /** Takes the answer. */
    void deliver(MergedAnswer answer);

    /** Takes parts that came so far, if the query was asked for them in pieces; more may follow. */
    default void deliverPartial(MergedAnswer partial) {
        throw new UnsupportedOperationException("a whole answer was asked for");
    }

    /** Takes the reason for which there is none. */
    void refuse(RefusalReason reason);

    /** Returns the host that the answer is for; empty if it is for a caller of this one. */
    default String onBehalfOf() {
        return "";
    }
}
