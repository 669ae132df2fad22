package org.bramblerack.daemon.event;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines from a separate thread, fed by a bounded queue. Drops and counts lines while the queue is full.
 *
 * <p>Invariant: callers never block on the output. Safe for use by many threads.
 */
public final class BoundedAppender extends AsyncAppender {
    /** At about 300 bytes per line, a full queue takes less than half a megabyte. */
    private static final int QUEUE_LINES = 1_024;
    /** The maximum time to write the remaining lines when the appender stops. */
    private static final int FLUSH_TIMEOUT_MILLIS = 300;

    private final AtomicLong dropped = new AtomicLong();

    /** Creates an appender with an empty queue. */
    public BoundedAppender() {
        setQueueSize(QUEUE_LINES);
        setDiscardingThreshold(0);
        setNeverBlock(true);
        setMaxFlushTime(FLUSH_TIMEOUT_MILLIS);
    }

    /** Returns the number of lines dropped so far. */
    public long droppedLineCount() {
        return dropped.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            dropped.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
