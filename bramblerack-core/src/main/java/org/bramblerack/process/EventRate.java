package org.bramblerack.process;

import java.time.Duration;

/**
 * How often something happened of late.
 *
 * <p>Counts over a window that is long enough for a handful of events on a quiet host, and short enough to follow the
 * load. Not safe for use by several threads.
 */
public final class EventRate {
    private static final int BUCKETS = 5;
    private static final long BUCKET_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int WINDOWS_PER_MINUTE = (int) (Duration.ofMinutes(1).toNanos() / (BUCKETS * BUCKET_NANOS));

    private final long startedNanos;
    private final int[] counts = new int[BUCKETS];
    private long currentBucket;

    /** Creates a rate of zero. */
    public EventRate(long nowNanos) {
        this.startedNanos = nowNanos;
    }

    /** Notes an event. */
    public void record(long nowNanos) {
        advance(nowNanos);
        counts[index(currentBucket)]++;
    }

    /** Returns how many there would be in a minute at the rate of late. */
    public int perMinute(long nowNanos) {
        advance(nowNanos);
        int sum = 0;
        for (int count : counts) {
            sum += count;
        }
        return sum * WINDOWS_PER_MINUTE;
    }

    private void advance(long nowNanos) {
        long bucket = Math.max(currentBucket, (nowNanos - startedNanos) / BUCKET_NANOS);
        for (long next = Math.max(currentBucket + 1, bucket - BUCKETS + 1); next <= bucket; next++) {
            counts[index(next)] = 0;
        }
        currentBucket = bucket;
    }

    private static int index(long bucket) {
        return (int) (bucket % BUCKETS);
    }
}
