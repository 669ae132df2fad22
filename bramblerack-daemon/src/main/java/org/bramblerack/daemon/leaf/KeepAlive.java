package org.bramblerack.daemon.leaf;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** How long a leaf keeps an idle connection, as its answers say. */
final class KeepAlive {
    /** The name of the field. */
    static final String FIELD = "Keep-Alive";

    private static final String TIMEOUT = "timeout=";
    /** A request that leaves later than this before the end could cross the leaf's close. */
    private static final Duration SAFETY_MARGIN = Duration.ofMillis(600);

    private KeepAlive() {}

    /** Reads the seconds of a {@code Keep-Alive} field. */
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

    /** Returns how long a connection may rest and still be used. */
    static long safeIdleNanos(long seconds) {
        Duration whole = Duration.ofSeconds(seconds);
        Duration half = whole.dividedBy(2);
        Duration safe = whole.minus(SAFETY_MARGIN);
        return (safe.compareTo(half) > 0 ? safe : half).toNanos();
    }
}
