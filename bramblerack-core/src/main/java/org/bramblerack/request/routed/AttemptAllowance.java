package org.bramblerack.request.routed;

/**
 * The permitted attempts at one shard that belong to this host.
 *
 * <p>Each permitted attempt belongs to one host at a time. A host hands an attempt over with a call or in reply to a
 * request, and gets it back with a reply only; it never concludes from silence or elapsed time that the other host will
 * not use it. Invariant: over all hosts, the attempts that belong to a host and were not handed over never exceed the
 * limit of the route. Not safe for use by several threads.
 */
final class AttemptAllowance {
    private int held;
    private int handedOver;
    private int obtainable;
    private boolean requested;

    /**
     * Creates an allowance.
     *
     * @param held the attempts that belong to this host
     * @param obtainable the attempts that the delegating host may hand over on request
     */
    AttemptAllowance(int held, int obtainable) {
        this.held = held;
        this.obtainable = obtainable;
    }

    /**
     * Returns the number of attempts that this host may still make or hand over.
     *
     * @param used the attempts from this host that may have run
     */
    int available(int used) {
        return held - handedOver - used;
    }

    /** Returns the number of attempts that belong to the delegate. */
    int handedOver() {
        return handedOver;
    }

    void handOver() {
        handedOver++;
    }

    /** Records that the delegate has certainly not used some of its attempts and will not. */
    void takeBack(int count) {
        handedOver = Math.max(0, handedOver - count);
    }

    /** Records that the delegate made some attempts, even if they were not handed over. */
    void recordUsedByDelegate(int count) {
        handedOver = Math.max(handedOver, count);
    }

    /** Returns true if an attempt may be requested or was requested from the delegating host. */
    boolean isObtainable() {
        return requested || obtainable > 0;
    }

    boolean isRequested() {
        return requested;
    }

    void recordRequest() {
        requested = true;
    }

    /** Records that the delegating host handed over the requested attempt. */
    void grant() {
        requested = false;
        obtainable = Math.max(0, obtainable - 1);
        held++;
    }

    /** Records that the delegating host has no attempt left. */
    void deny() {
        requested = false;
        obtainable = 0;
    }
}
