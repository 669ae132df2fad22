package org.bramblerack.process.leaf;

/** How a call to a leaf ended. */
public enum LeafOutcome {
    /** It answered with success. */
    SUCCEEDED(false, true),

    /** It answered with a failure of its own; it has run the request. */
    FAILED(false, true),

    /** It said that it did not run the request because it is full. */
    REFUSED_BUSY(true, true),

    /** It said that it did not run the request for another reason, or it is no longer the leaf at this address. */
    REFUSED_GONE(true, true),

    /** No connection could be made, so that nothing was sent. */
    UNREACHABLE(true, false),

    /**
     * This host may open no further connection to it and all are in use, or the host that holds the connections does
     * not know the leaf, so that nothing was sent.
     */
    NO_CONNECTION(true, false),

    /** Nothing was sent, since requests like it end the leafs that run them. */
    BARRED(true, false),

    /** The connection ended before a whole answer came; the request may have run. */
    BROKEN(false, true),

    /** What came is not an answer to the request; the request may have run. */
    GARBLED(false, true);

    private final boolean notRun;
    private final boolean sent;

    LeafOutcome(boolean notRun, boolean sent) {
        this.notRun = notRun;
        this.sent = sent;
    }

    /** Returns true if the request has certainly not run at the leaf, and will not. */
    public boolean isNotRun() {
        return notRun;
    }

    /** Returns true if the leaf went on after it had begun to run the request. */
    public boolean showsSurvival() {
        return this == SUCCEEDED || this == FAILED;
    }

    /** Returns false if nothing was sent, so that no leaf has seen the request. */
    public boolean isSent() {
        return sent;
    }
}
