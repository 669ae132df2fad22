package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * One host's share of the extra attempts that a fleet may make to one service within any window of time.
 *
 * <p>An extra attempt counts until a whole window has passed; then it may be spent again. Unlike a token bucket this
 * lets a host with few requests make an extra attempt in every window.
 *
 * <p>Invariant: within any window, extra attempts are at most the given percentage of the first attempts in that window
 * plus the reserve that was in force at the last of them. The window is divided into buckets and rounded so that the
 * budget is never exceeded. For the first window after a start a smaller reserve applies, since the host may have spent
 * its share just before it restarted.
 *
 * <p>Not safe for use by several threads: the event loop of the entry role owns it.
 */
public final class WindowedBudget {
    /** The number of buckets in a window. A spent attempt is available again at most one bucket late. */
    private static final int BUCKETS = 10;

    private static final int PERCENT = 100;

    private final int extraPercent;
    private final long windowNanos;
    private final long bucketNanos;
    private final long startedNanos;
    /** One more bucket than a window has, since the oldest one may overlap the window. */
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
     * @param extraPercent extra attempts per 100 first attempts, at least 0
     * @param startedNanos when the host started
     */
    public static WindowedBudget create(int extraPercent, Duration window, long startedNanos) {
        checkArgument(extraPercent >= 0, "extraPercent must not be negative: %s", extraPercent);
        checkArgument(window.toNanos() >= BUCKETS, "window is too short: %s", window);
        return new WindowedBudget(extraPercent, window, startedNanos);
    }

    /**
     * Sets the reserve.
     *
     * @param inAnyWindow extra attempts beyond the percentage
     * @param inFirstWindow the same for the first window after the start of the host
     */
    public WindowedBudget setReserve(int inAnyWindow, int inFirstWindow) {
        checkArgument(inAnyWindow >= 0, "reserve %s is negative", inAnyWindow);
        checkArgument(inFirstWindow >= 0, "first reserve %s is negative", inFirstWindow);
        reserve = inAnyWindow;
        firstReserve = Math.min(inAnyWindow, inFirstWindow);
        return this;
    }

    public void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        firstAttempts[index(currentBucket)]++;
    }

    /** Withdraws one extra attempt from the budget; returns false if the budget is exhausted. */
    public boolean tryWithdraw(long nowNanos) {
        return tryWithdrawAbove(0, nowNanos);
    }

    /**
     * Withdraws one extra attempt if a given part of the budget remains, which is reserved for more urgent attempts.
     *
     * @param reservedPercent the percentage of the budget of the current window that must remain, rounded down to whole
     *     attempts
     */
    public boolean tryWithdrawAbove(int reservedPercent, long nowNanos) {
        if (!mayWithdrawAbove(reservedPercent, nowNanos)) {
            return false;
        }
        extraAttempts[index(currentBucket)]++;
        return true;
    }

    /** Returns true if {@link #tryWithdrawAbove} would withdraw an attempt. */
    public boolean mayWithdrawAbove(int reservedPercent, long nowNanos) {
        advance(nowNanos);
        long allowed = allowedHundredths(nowNanos);
        long reserved = allowed * reservedPercent / PERCENT / PERCENT * PERCENT;
        return allowed - spentHundredths() - PERCENT >= reserved;
    }

    /** Returns the fraction of the current window's budget that remains, from 0 to 1. */
    public double remainingFraction(long nowNanos) {
        advance(nowNanos);
        long allowed = allowedHundredths(nowNanos);
        return allowed <= 0 ? 0 : Math.max(0, (double) (allowed - spentHundredths()) / allowed);
    }

    /** Returns the budget of the window that ends now, in hundredths of an attempt. */
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

    /** Clears the buckets that are older than a window. */
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
