package org.bramblerack.daemon.fleet;

import java.util.concurrent.atomic.AtomicLong;
import org.bramblerack.daemon.event.EventLog;

/**
 * The number under which a process reports itself to the replicated tables.
 *
 * <p>The tables keep a removed host out until it reports another number, so that a late report of a process that has
 * ended has no effect. A process that was removed while it runs, because control did not hear from it for a while,
 * therefore takes another number. Safe for use by many threads.
 */
public final class HostIncarnation {
    private static final EventLog EVENTS = EventLog.of(HostIncarnation.class);

    private final String host;
    private final AtomicLong number;

    /**
     * Creates the incarnation of a process.
     *
     * @param number a random number, which distinguishes this start of the host from others
     */
    public HostIncarnation(String host, long number) {
        this.host = host;
        this.number = new AtomicLong(number);
    }

    /** Returns the current number. */
    public long number() {
        return number.get();
    }

    /** Takes another number because the tables of the given revision list this process as gone. */
    public void renew(long revision) {
        number.incrementAndGet();
        EVENTS.warning("removed_from_tables")
                .with("host", host)
                .with("revision", revision)
                .write();
    }
}
