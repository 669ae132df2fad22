package org.bramblerack.process;

import java.time.Duration;

/**
 * How often something happened of late.
 *
 * <p>Counts over a window that is long enough for a handful of events on a quiet host, and short enough to follow the
 * load. Not safe for use by several threads.
 */
public final class EventRate {
    private static final int PARTS = 5;
    private static final long PART_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int WINDOWS_A_MINUTE = (int) (Duration.ofMinutes(1).toNanos() / (PARTS * PART_NANOS));

    private final long startedNanos;
    private final int[] counts = new int[PARTS];
    private long currentPart;

    /** Creates a rate of zero. */
    public EventRate(long nowNanos) {
        this.startedNanos = nowNanos;
    }

    /** Notes an event. */
    public void record(long nowNanos) {
        advance(nowNanos);
        counts[index(currentPart)]++;
    }

    /** Returns how many there would be in a minute at the rate of late. */
    public int perMinute(long nowNanos) {
        advance(nowNanos);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum * WINDOWS_A_MINUTE;
    }

    private void advance(long nowNanos) {
        long part = Math.max(currentPart, (nowNanos - startedNanos) / PART_NANOS);
        for (long passed = Math.max(currentPart + 1, part - PARTS + 1); passed <= part; passed++) {
            counts[index(passed)] = 0;
        }
        currentPart = part;
    }

    private static int index(long part) {
        return (int) (part % PARTS);
    }
}
