package org.bramblerack.daemon.peer;

import java.time.Duration;

/**
 * What happens to messages on the way to another host; the ordinary policy passes them on.
 *
 * <p>Tests and benchmarks use other policies to delay messages or to cut hosts off. Implementations must be safe for
 * use by many threads.
 */
public interface LinkPolicy {
    /** Passes every message on at once. */
    LinkPolicy OPEN = new LinkPolicy() {
        @Override
        public boolean isPartitioned(String host) {
            return false;
        }

        @Override
        public Duration delay(String host) {
            return Duration.ZERO;
        }
    };

    /** Returns true if messages to and from a host are dropped. */
    boolean isPartitioned(String host);

    /** Returns how long a message to a host is held back. */
    Duration delay(String host);
}
