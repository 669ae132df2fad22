package org.bramblerack.daemon.gateway;

import java.time.Duration;
import java.util.function.Consumer;
import org.bramblerack.request.routed.CallerIdentity;
import org.bramblerack.wire.Envelope;

/** Limits the request rate of each team over all hosts. Owned by the event loop. */
interface TeamRateLimits {
    /** Permits every request. */
    TeamRateLimits NONE = (caller, taker) -> taker.accept(Decision.UNLIMITED);

    /** Starts the periodic work. */
    default void start() {}

    /** Stops the periodic work. */
    default void stop() {}

    /**
     * Handles a message from another host.
     *
     * @return false if the message does not concern rate limits
     */
    default boolean handle(Envelope message, Consumer<Envelope.Builder> reply) {
        return false;
    }

    /**
     * Requests permission for one request; usually decided at once.
     *
     * @param callback receives the decision exactly once, during this call or later
     */
    void requestPermission(CallerIdentity caller, Consumer<Decision> callback);

    /** The decision about a request. */
    sealed interface Decision {
        /** A permission that counts against no limit. */
        Permitted UNLIMITED = new Permitted(() -> {});

        /**
         * The request is permitted.
         *
         * @param refund to be run once if the request turns out not to have run
         */
        record Permitted(Runnable refund) implements Decision {}

        /**
         * The team has reached its limit.
         *
         * @param retryAfter when to try again
         * @param decidedBy the name of the decision's source, for the log
         */
        record Refused(Duration retryAfter, String decidedBy) implements Decision {}
    }
}
