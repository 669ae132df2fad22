package org.bramblerack.request.routed;

/**
 * The permitted attempts at one shard that belong to this host.
 *
 * <p>Each permitted attempt belongs to one host at a time. A host hands an attempt over with a call or in reply to a
 * request, and gets it back with a reply only; it never concludes from silence or elapsed time that the other host will
 * not use it. Invariant: over all hosts, the attempts that may have run and those that hosts may still make do not
 * exceed the limit of the route. Not safe for use by several threads.
 */
final class AttemptAllowance {
    private final ShardAttempts attempts;
    private final Runnable onRequest;
    private int held;
    private int handedOver;
    private int obtainable;
    private boolean requested;
    private boolean sentByDelegate;

    /**
     * Creates an allowance.
     *
     * @param attempts the attempts of this host
     * @param held the attempts that belong to this host
     * @param obtainable the attempts that the delegating host may hand over on request
     * @param onRequest called when an attempt is to be requested from the delegating host
     */
    AttemptAllowance(ShardAttempts attempts, int held, int obtainable, Runnable onRequest) {
        this.attempts = attempts;
        this.held = held;
        this.obtainable = obtainable;
        this.onRequest = onRequest;
    }

    /** Returns the number of attempts that this host may still make or hand over. */
    int available() {
        return held - handedOver - attempts.possiblyRunCount();
    }

    boolean isAvailable() {
        return available() > 0;
    }

    /** Returns the number of attempts that belong to the delegate. */
    int handedOver() {
        return handedOver;
    }

    boolean isAnyHandedOver() {
        return handedOver > 0;
    }

    void handOver() {
        handedOver++;
    }

    /**
     * Records that the delegate has certainly not used one of its attempts and will not, although it sent the request:
     * a leaf that refuses a request has not run it.
     */
    void takeBack() {
        handedOver = Math.max(0, handedOver - 1);
        sentByDelegate = true;
    }

    /** Returns true if the delegate may have sent the request to a leaf. */
    boolean mayBeSentByDelegate() {
        return isAnyHandedOver() || sentByDelegate;
    }

    /** Records that the delegate has certainly not used any of its attempts and will not. */
    void takeBackAll() {
        handedOver = 0;
    }

    /**
     * Records that the delegate made some attempts, even if they were not handed over.
     *
     * @return false if that exceeds the permitted attempts
     */
    boolean recordUsedByDelegate(int count) {
        handedOver = Math.max(handedOver, count);
        return available() >= 0;
    }

    /** Returns true if an attempt may be requested or was requested from the delegating host. */
    boolean isObtainable() {
        return requested || obtainable > 0;
    }

    boolean isAvailableOrObtainable() {
        return isAvailable() || isObtainable();
    }

    boolean isRequested() {
        return requested;
    }

    /** Requests an attempt from the delegating host, unless one is requested already. */
    void request() {
        if (!requested) {
            requested = true;
            onRequest.run();
        }
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

    /** Describes the attempts of the delegate for a log line. */
    String describe() {
        return handedOver > 0 ? " elsewhere=" + handedOver : "";
    }
}
