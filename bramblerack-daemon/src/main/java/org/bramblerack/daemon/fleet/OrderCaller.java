package org.bramblerack.daemon.fleet;

import io.smallrye.mutiny.Uni;

/** The operator who sent an order, as far as a control host can tell. Safe for use by many threads. */
public interface OrderCaller {
    /** Returns the network address that the order came from. */
    String address();

    /**
     * Returns whether the caller still waits for the answer, decided after this call and after everything that had
     * arrived from the caller by then was read. A close that follows an order closely is awaited.
     */
    Uni<Boolean> awaitsAnswer();
}
