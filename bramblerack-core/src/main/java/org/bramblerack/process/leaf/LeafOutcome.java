package org.bramblerack.process.leaf;

/** How a call to a leaf ended. */
public enum LeafOutcome {
    /** The leaf answered with success. */
    SUCCEEDED(false, true),

    /** The leaf ran the request and answered with an error of its own. */
    FAILED(false, true),

    /**
     * The leaf ran a query and answered with an error that may be the query's fault or the leaf's own. It is a failure
     * of the leaf if another leaf accepts the same query.
     */
    REJECTED(false, true),

    /** The leaf was full and did not run the request. */
    REFUSED_BUSY(true, true),

    /** The leaf did not run the request for another reason, or another incarnation answers at its address. */
    REFUSED_GONE(true, true),

    /** The connection attempt failed, so that nothing was sent. */
    UNREACHABLE(true, false),

    /**
     * Nothing was sent: this host may open no further connection to the leaf and all are in use, or the host that holds
     * the connections does not know the leaf.
     */
    NO_CONNECTION(true, false),

    /** Nothing was sent: the request is quarantined, because leaves crashed while they ran it. */
    BARRED(true, false),

    /** The connection was lost before a complete answer arrived; the request may have run. */
    BROKEN(false, true),

    /** The answer was malformed or belongs to another request; the request may have run. */
    GARBLED(false, true);

    private final boolean notRun;
    private final boolean sent;

    LeafOutcome(boolean notRun, boolean sent) {
        this.notRun = notRun;
        this.sent = sent;
    }

    /** Returns true if the leaf has certainly not run the request and will not. */
    public boolean isNotRun() {
        return notRun;
    }

    /** Returns true if the leaf was still up after it had run the request. */
    public boolean showsSurvival() {
        return this == SUCCEEDED || this == FAILED || this == REJECTED;
    }

    /** Returns false if no part of the request was sent. */
    public boolean isSent() {
        return sent;
    }
}
