package org.bramblerack.process.leaf;

/** How a call to a leaf ended. */
public enum LeafOutcome {
    /** It answered with success. */
    SUCCEEDED(false),

    /** It answered with a failure of its own; it has run the request. */
    FAILED(false),

    /** It said that it did not run the request because it is full. */
    REFUSED_BUSY(true),

    /** It said that it did not run the request for another reason, or it is no longer the leaf at this address. */
    REFUSED_GONE(true),

    /** No connection could be made, so that nothing was sent. */
    UNREACHABLE(true),

    /** This host may open no further connection to it and all are in use, so that nothing was sent. */
    NO_CONNECTION(true),

    /** The connection ended before a whole answer came; the request may have run. */
    BROKEN(false),

    /** What came is not an answer to the request; the request may have run. */
    GARBLED(false);

    private final boolean notRun;

    LeafOutcome(boolean notRun) {
        this.notRun = notRun;
    }

    /** Returns true if the request has certainly not run at the leaf, and will not. */
    public boolean isNotRun() {
        return notRun;
    }
}
