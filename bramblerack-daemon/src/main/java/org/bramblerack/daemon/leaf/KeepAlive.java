package org.bramblerack.daemon.leaf;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The idle timeout that a leaf announces in the {@code Keep-Alive} field of its answers. */
final class KeepAlive {
    static final String FIELD = "Keep-Alive";

    private static final String TIMEOUT = "timeout=";
    /** A request sent within this time before the timeout could cross with the leaf's close. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(600);

    private KeepAlive() {}

    /** Parses the timeout of a {@code Keep-Alive} field. */
    static Optional<Long> timeoutSeconds(@Nullable String field) {
        if (field == null) {
            return Optional.empty();
        }
        int start = field.indexOf(TIMEOUT);
        if (start < 0) {
            return Optional.empty();
        }
        int end = start + TIMEOUT.length();
        while (end < field.length() && Character.isDigit(field.charAt(end))) {
            end++;
        }
        String digits = field.substring(start + TIMEOUT.length(), end);
        return digits.isEmpty() || digits.length() > 9 ? Optional.empty() : Optional.of(Long.parseLong(digits));
    }

    /** Returns how long a connection may be idle and still be reused, given the leaf's timeout in seconds. */
    static long safeIdleNanos(long seconds) {
        Duration timeout = Duration.ofSeconds(seconds);
        Duration half = timeout.dividedBy(2);
        Duration safe = timeout.minus(SAFETY_MARGIN);
        return (safe.compareTo(half) > 0 ? safe : half).toNanos();
    }
}
