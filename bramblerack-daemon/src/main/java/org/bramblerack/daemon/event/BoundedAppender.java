package org.bramblerack.daemon.event;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands lines to a thread of its own through a bounded queue, and drops and counts them while the queue is full.
 *
 * <p>Invariant: a caller never waits for the output, however slow its reader is. Safe for use by many threads.
 */
public final class BoundedAppender extends AsyncAppender {
    /** Some seconds of lines at the most that a process writes; at about 300 bytes each well below a megabyte. */
    private static final int QUEUE_LINES = 1_024;
    /** How long the end of a process waits for its last lines to be written. */
    private static final int FLUSH_MILLIS = 300;

    private final AtomicLong lost = new AtomicLong();

    /** Creates an appender with an empty queue. */
    public BoundedAppender() {
        setQueueSize(QUEUE_LINES);
        setDiscardingThreshold(0);
        setNeverBlock(true);
        setMaxFlushTime(FLUSH_MILLIS);
    }

    /** Returns how many lines were dropped so far. */
    public long droppedLineCount() {
        return lost.get();
    }

    @Override
    protected void append(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            lost.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
