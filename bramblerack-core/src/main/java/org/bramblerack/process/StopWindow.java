package org.bramblerack.process;

import java.util.OptionalLong;

/**
 * The time that a stopping process has left for requests. A process that is not stopping uses {@link #OPEN}.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class StopWindow {
    /** The window of a process that is not stopping. */
    public static final StopWindow OPEN = new StopWindow(OptionalLong.empty());

    /** Covers requests that take longer than those before them, and retries. */
    private static final int DURATION_MARGIN = 2;

    private final OptionalLong lastAnswerNanos;

    private StopWindow(OptionalLong lastAnswerNanos) {
        this.lastAnswerNanos = lastAnswerNanos;
    }

    /**
     * Returns the window of a stopping process.
     *
     * @param lastAnswerNanos when the process answers its last request
     */
    public static StopWindow closingAt(long lastAnswerNanos) {
        return new StopWindow(OptionalLong.of(lastAnswerNanos));
    }

    /** Returns the time until the last answer; empty if the process is not stopping. */
    OptionalLong remainingNanos(long nowNanos) {
        return lastAnswerNanos.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(lastAnswerNanos.getAsLong() - nowNanos);
    }

    /**
     * Returns true if a request that starts now will be answered before the process ends: because its deadline is
     * earlier, or because requests like it take much less than the time left.
     *
     * @param deadlineNanos when the request is answered at the latest
     * @param expectedNanos the duration of similar requests, if known
     */
    public boolean fits(long deadlineNanos, OptionalLong expectedNanos, long nowNanos) {
        OptionalLong left = remainingNanos(nowNanos);
        if (left.isEmpty()) {
            return true;
        }
        long leftNanos = left.getAsLong();
        boolean endsInTime = deadlineNanos - nowNanos <= leftNanos;
        boolean isShort = expectedNanos.isPresent() && expectedNanos.getAsLong() <= leftNanos / DURATION_MARGIN;
        return leftNanos > 0 && (endsInTime || isShort);
    }
}
