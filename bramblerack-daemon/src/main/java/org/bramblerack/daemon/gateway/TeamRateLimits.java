package org.bramblerack.daemon.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.wire.Envelope;

/** Bounds how many requests a team makes on all hosts together. Owned by the event loop. */
interface TeamRateLimits {
    /** Every request is permitted. */
    TeamRateLimits NONE = (caller, taker) -> taker.accept(Decision.UNLIMITED);

    /** Begins to look after what is due. */
    default void start() {}

    /** Stops looking. */
    default void stop() {}

    /**
     * Takes a message of another host.
     *
     * @return false if it is not about limits
     */
    default boolean handle(Envelope message, Consumer<Envelope.Builder> reply) {
        return false;
    }

    /**
     * Asks for the permission to make one request, which is decided at once as a rule.
     *
     * @param taker takes the decision, once, now or later
     */
    void requestPermission(CallerIdentity caller, Consumer<Decision> taker);

    /** What is decided about a request. */
    sealed interface Decision {
        /** A permission that was taken from no limit. */
        Permitted UNLIMITED = new Permitted(() -> {});

        /**
         * The request may be made.
         *
         * @param refund to be called once if it turns out not to have run
         */
        record Permitted(Runnable refund) implements Decision {}

        /**
         * The team has spent what it may.
         *
         * @param retryAfter when there will be a permission for this caller
         * @param decidedBy which host's word it was, of those that may decide, for the log
         */
        record Refused(Duration retryAfter, String decidedBy) implements Decision {}
    }
}
