package org.bramblerack.daemon.event;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import org.bramblerack.process.MonotonicClock;

/**
 * Bounds how many lines of one kind are written in a second, and counts what is left out.
 *
 * <p>Not safe for use by several threads.
 */
public final class LogRateLimiter {
    private static final long PERIOD_NANOS = Duration.ofSeconds(1).toNanos();

    private final MonotonicClock clock;
    private final int linesASecond;
    private long periodBeganNanos;
    private int lines;
    private long leftOut;

    /** Creates a bound that lets the given number of lines through in each second. */
    public LogRateLimiter(MonotonicClock clock, int linesASecond) {
        checkArgument(linesASecond > 0, "%s lines a second", linesASecond);
        this.clock = clock;
        this.linesASecond = linesASecond;
        this.periodBeganNanos = clock.nowNanos();
    }

    /** Returns true if a line may be written now; otherwise counts it as left out. */
    public boolean tryAcquire() {
        long nowNanos = clock.nowNanos();
        if (nowNanos - periodBeganNanos >= PERIOD_NANOS) {
            periodBeganNanos = nowNanos;
            lines = 0;
        }
        if (lines >= linesASecond) {
            leftOut++;
            return false;
        }
        lines++;
        return true;
    }

    /** Returns how many lines were left out since the last call of this method. */
    public long takeSuppressedCount() {
        long taken = leftOut;
        leftOut = 0;
        return taken;
    }
}
