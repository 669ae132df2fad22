package org.bramblerack.daemon.event;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.bramblerack.process.MonotonicClock;

/**
 * Limits the number of log lines of one kind per second, and counts the suppressed ones.
 *
 * <p>Not safe for use by several threads.
 */
public final class LogRateLimiter {
    private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

    private final MonotonicClock clock;
    private final int linesPerSecond;
    private long periodStartNanos;
    private int lines;
    private long suppressed;

    /** Creates a limiter that permits the given number of lines in each second. */
    public LogRateLimiter(MonotonicClock clock, int linesPerSecond) {
        checkArgument(linesPerSecond > 0, "linesPerSecond must be positive: %s", linesPerSecond);
        this.clock = clock;
        this.linesPerSecond = linesPerSecond;
        this.periodStartNanos = clock.nowNanos();
    }

    /** Returns true if a line may be written now; otherwise counts it as suppressed. */
    public boolean tryAcquire() {
        long nowNanos = clock.nowNanos();
        if (nowNanos - periodStartNanos >= PERIOD_NANOS) {
            periodStartNanos = nowNanos;
            lines = 0;
        }
        if (lines >= linesPerSecond) {
            suppressed++;
            return false;
        }
        lines++;
        return true;
    }

    /** Returns the number of lines suppressed since the last call of this method. */
    public long takeSuppressedCount() {
        long count = suppressed;
        suppressed = 0;
        return count;
    }
}
