package org.bramblerack.process;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * The longest of the durations that were recorded recently: within the present period and the one before.
 *
 * <p>Safe for use by many threads.
 */
public final class RecentMaximum {
    private static final long PERIOD_NANOS = Duration.ofSeconds(30).toNanos();

    private OptionalLong present = OptionalLong.empty();
    private OptionalLong before = OptionalLong.empty();
    private long periodStartNanos;

    /** Creates a maximum of no durations. */
    public RecentMaximum() {}

    /** Records a duration. */
    public synchronized void record(long durationNanos, long nowNanos) {
        startPeriodIfDue(nowNanos);
        present = OptionalLong.of(Math.max(durationNanos, present.orElse(0)));
    }

    /** Returns the longest recent duration; empty if none was recorded recently. */
    public synchronized OptionalLong get(long nowNanos) {
        startPeriodIfDue(nowNanos);
        if (present.isEmpty()) {
            return before;
        }
        return OptionalLong.of(Math.max(present.getAsLong(), before.orElse(0)));
    }

    private void startPeriodIfDue(long nowNanos) {
        long elapsedNanos = nowNanos - periodStartNanos;
        boolean isFirst = present.isEmpty() && before.isEmpty();
        if (isFirst || elapsedNanos >= PERIOD_NANOS) {
            before = elapsedNanos < 2 * PERIOD_NANOS ? present : OptionalLong.empty();
            present = OptionalLong.empty();
            periodStartNanos = nowNanos;
        }
    }
}
