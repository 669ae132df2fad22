package org.bramblerack.daemon.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes identifiers that no other life of any host makes.
 *
 * <p>Safe for use by many threads.
 */
public final class RequestIds {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    /**
     * Creates a source of identifiers.
     *
     * @param host this host's name
     * @param incarnation grows with every start of this host
     */
    public RequestIds(String host, long incarnation) {
        this.prefix = host + "." + Long.toString(incarnation, Character.MAX_RADIX) + ".";
    }

    /** Returns a new identifier. */
    public String next() {
        return prefix + Long.toString(next.incrementAndGet(), Character.MAX_RADIX);
    }
}
