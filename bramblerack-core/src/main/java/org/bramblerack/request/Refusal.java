package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * A truthful refusal of a request: its kind, what to do about it, and when to come back.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param kind the kind, which says whether the request ran
 * @param message what happened and the remedy
 * @param retryAfter when to send the request again, if that is worth while
 */
public record Refusal(RefusalKind kind, String message, Optional<Duration> retryAfter) {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(250);
    /**
     * When to come back with a request that is sent to no upstream: it stays so for an hour, unless it was taken for
     * another, which shows within seconds.
     */
    private static final Duration HARMFUL_RETRY_AFTER = Duration.ofMinutes(1);

    /** Refuses an empty message. */
    public Refusal {
        checkArgument(!message.isBlank(), "a refusal of kind %s needs a message", kind);
    }

    /** Creates a refusal with the usual time to come back, if its kind is worth retrying. */
    public static Refusal of(RefusalKind kind, String message) {
        Duration usual = kind == RefusalKind.HARMFUL ? HARMFUL_RETRY_AFTER : DEFAULT_RETRY_AFTER;
        return new Refusal(kind, message, kind.isRetryable() ? Optional.of(usual) : Optional.empty());
    }

    /** Creates a refusal with a time to come back. */
    public static Refusal retryAfter(RefusalKind kind, String message, Duration retryAfter) {
        checkArgument(!retryAfter.isNegative(), "retry after %s is negative", retryAfter);
        return new Refusal(kind, message, Optional.of(retryAfter));
    }
}
