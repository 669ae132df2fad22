package org.bramblerack.request;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.Optional;

/**
 * A refusal of a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind, which states whether the request ran
 * @param message the cause and the remedy
 * @param retryAfter after what time to retry, empty if a retry cannot succeed
 */
public record Refusal(RefusalKind kind, String message, Optional<Duration> retryAfter) {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(250);
    /** Long, because a harmful request stays blocked for an hour unless it was blocked by mistake. */
    private static final Duration HARMFUL_RETRY_AFTER = Duration.ofMinutes(1);

    /** Creates a refusal; throws if the message is blank. */
    public Refusal {
        checkArgument(!message.isBlank(), "a refusal of kind %s needs a message", kind);
    }

    /** Creates a refusal with the default retry time of its kind, or with none if it is not retryable. */
    public static Refusal of(RefusalKind kind, String message) {
        Duration usual = kind == RefusalKind.HARMFUL ? HARMFUL_RETRY_AFTER : DEFAULT_RETRY_AFTER;
        return new Refusal(kind, message, kind.isRetryable() ? Optional.of(usual) : Optional.empty());
    }

    /** Creates a refusal with the given retry time. */
    public static Refusal retryAfter(RefusalKind kind, String message, Duration retryAfter) {
        checkArgument(!retryAfter.isNegative(), "retry after %s is negative", retryAfter);
        return new Refusal(kind, message, Optional.of(retryAfter));
    }
}
