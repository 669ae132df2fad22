package org.bramblerack.daemon.peer;

import java.time.Duration;

/**
 * Drops or delays messages to other hosts; the default policy does neither.
 *
 * <p>Tests and benchmarks use other policies to inject latency and network partitions. Implementations must be safe for
 * use by many threads.
 */
public interface LinkPolicy {
    /** Delivers every message without delay. */
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

    /** Returns the delay of messages to a host. */
    Duration delay(String host);
}
