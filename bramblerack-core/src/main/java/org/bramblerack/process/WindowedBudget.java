package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * One host's share of what a fleet may spend on extra attempts at one service within any window of time.
 *
 * <p>What was spent counts until a whole window has passed, then it may be spent anew: a host that gets a handful of
 * requests a minute saves nothing up from them, and would otherwise have no second attempt for long after its first.
 *
 * <p>Invariant: within any window, extra attempts are at most the given percentage of the first attempts of that time
 * plus the reserve that was in force when the last of them was made. Time is counted in parts of a window, always to
 * the disadvantage of the spender. A host that has just started may have spent its share before, so that until its
 * first window is over a smaller reserve holds.
 *
 * <p>Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class WindowedBudget {
    /** In how many parts a window is counted: what was spent comes back up to a tenth of the window late. */
    private static final int BUCKETS = 10;

    private static final int PERCENT = 100;

    private final int extraPercent;
    private final long windowNanos;
    private final long bucketNanos;
    private final long startedNanos;
    /** One part more than a window has, since the oldest may reach into it. */
    private final int[] extraAttempts = new int[BUCKETS + 1];

    private final int[] firstAttempts = new int[BUCKETS + 1];
    private long currentBucket;
    private int reserve;
    private int firstReserve;

    private WindowedBudget(int extraPercent, Duration window, long startedNanos) {
        this.extraPercent = extraPercent;
        this.windowNanos = window.toNanos();
        this.bucketNanos = windowNanos / BUCKETS;
        this.startedNanos = startedNanos;
    }

    /**
     * Creates a budget without a reserve.
     *
     * @param extraPercent extra attempts for 100 first attempts, at least 0
     * @param startedNanos when the host started
     */
    public static WindowedBudget create(int extraPercent, Duration window, long startedNanos) {
        checkArgument(extraPercent >= 0, "extra attempts of %s percent", extraPercent);
        checkArgument(window.toNanos() >= BUCKETS, "a window of %s", window);
        return new WindowedBudget(extraPercent, window, startedNanos);
    }

    /**
     * Changes the reserve.
     *
     * @param inAnyWindow extra attempts beyond the percentage
     * @param inFirstWindow the same for the time of one window after the start of the host
     */
    public WindowedBudget setReserve(int inAnyWindow, int inFirstWindow) {
        checkArgument(inAnyWindow >= 0, "reserve %s is negative", inAnyWindow);
        checkArgument(inFirstWindow >= 0, "first reserve %s is negative", inFirstWindow);
        reserve = inAnyWindow;
        firstReserve = Math.min(inAnyWindow, inFirstWindow);
        return this;
    }

    /** Notes a first attempt. */
    public void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentBucket)]++;
    }

    /** Takes one extra attempt out of the budget; returns false if it is spent. */
    public boolean tryWithdraw(long nowNanos) {
        return tryWithdrawAbove(0, nowNanos);
    }

    /**
     * Takes one extra attempt out of the budget if a part of it is left afterwards, for those that need it more.
     *
     * @param reservedPercent the part of what may be spent in a window that must be left, in whole attempts
     */
    public boolean tryWithdrawAbove(int reservedPercent, long nowNanos) {
        advance(nowNanos);
        long allowed = allowedHundredths(nowNanos);
        long reserved = allowed * reservedPercent / PERCENT / PERCENT * PERCENT;
        if (allowed - spentHundredths() - PERCENT < reserved) {
            return false;
        }
        extraAttempts[index(currentBucket)]++;
        return true;
    }

    /** Returns which part of what may be spent in a window is left, from 0 to 1. */
    public double remainingFraction(long nowNanos) {
        advance(nowNanos);
        long allowed = allowedHundredths(nowNanos);
        return allowed <= 0 ? 0 : Math.max(0, (double) (allowed - spentHundredths()) / allowed);
    }

    /** Returns what may be spent in the window that ends now, in hundredths of an attempt. */
    private long allowedHundredths(long nowNanos) {
        boolean inFirstWindow = nowNanos - startedNanos < windowNanos;
        long recent = 0;
        for (int age = 0; age < BUCKETS; age++) {
            recent += firstAttempts[index(currentBucket - age)];
        }
        return (long) (inFirstWindow ? firstReserve : reserve) * PERCENT + recent * extraPercent;
    }

    private long spentHundredths() {
        long spent = 0;
        for (int extra : extraAttempts) {
            spent += extra;
        }
        return spent * PERCENT;
    }

    /** Forgets what is older than a window. */
    private void advance(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos - startedNanos, bucketNanos);
        long newest = Math.max(bucket, currentBucket);
        for (long next = Math.max(currentBucket + 1, newest - BUCKETS); next <= newest; next++) {
            extraAttempts[index(next)] = 0;
            firstAttempts[index(next)] = 0;
        }
        currentBucket = newest;
    }

    private static int index(long bucket) {
        return Math.floorMod(bucket, BUCKETS + 1);
    }
}
