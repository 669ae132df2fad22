package org.bramblerack.process;

import java.time.Duration;

/**
 * The rate of an event over a sliding window of five seconds.
 *
 * <p>Not safe for use by several threads.
 */
public final class EventRate {
    private static final int BUCKETS = 5;
    private static final long BUCKET_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int WINDOWS_PER_MINUTE = (int) (Duration.ofMinutes(1).toNanos() / (BUCKETS * BUCKET_NANOS));

    private final long startedNanos;
    private final int[] counts = new int[BUCKETS];
    private long currentBucket;

    public EventRate(long nowNanos) {
        this.startedNanos = nowNanos;
    }

    public void record(long nowNanos) {
        advance(nowNanos);
        counts[index(currentBucket)]++;
    }

    /** Returns the number of events per minute, extrapolated from the window. */
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
