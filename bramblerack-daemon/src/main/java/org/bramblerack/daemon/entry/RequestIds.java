package org.bramblerack.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates identifiers that are unique across hosts and their incarnations.
 *
 * <p>Safe for use by many threads.
 */
public final class RequestIds {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    /**
     * Creates a generator.
     *
     * @param host this host's name
     * @param incarnation a number that grows with every start of this host
     */
    public RequestIds(String host, long incarnation) {
        this.prefix = host + "." + Long.toString(incarnation, Character.MAX_RADIX) + ".";
    }

    /** Returns a new identifier. */
    public String next() {
        return prefix + Long.toString(next.incrementAndGet(), Character.MAX_RADIX);
    }
}
