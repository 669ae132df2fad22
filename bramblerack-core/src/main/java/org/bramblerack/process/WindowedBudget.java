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
    private static final int PARTS = 10;

    private static final int PERCENT = 100;

    private final int extraPercent;
    private final long windowNanos;
    private final long partNanos;
    private final long startedNanos;
    /** One part more than a window has, since the oldest may reach into it. */
    private final int[] extras = new int[PARTS + 1];

    private final int[] firsts = new int[PARTS + 1];
    private long currentPart;
    private int reserve;
    private int firstReserve;

    private WindowedBudget(int extraPercent, Duration window, long startedNanos) {
        this.extraPercent = extraPercent;
        this.windowNanos = window.toNanos();
        this.partNanos = windowNanos / PARTS;
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
        checkArgument(window.toNanos() >= PARTS, "a window of %s", window);
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
        firsts[index(currentPart)]++;
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
        extras[index(currentPart)]++;
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
        boolean first = nowNanos - startedNanos < windowNanos;
        long recent = 0;
        for (int back = 0; back < PARTS; back++) {
            recent += firsts[index(currentPart - back)];
        }
        return (long) (first ? firstReserve : reserve) * PERCENT + recent * extraPercent;
    }

    private long spentHundredths() {
        long spent = 0;
        for (int extra : extras) {
            spent += extra;
        }
        return spent * PERCENT;
    }

    /** Forgets what is older than a window. */
    private void advance(long nowNanos) {
        long part = Math.floorDiv(nowNanos - startedNanos, partNanos);
        long newest = Math.max(part, currentPart);
        for (long passed = Math.max(currentPart + 1, newest - PARTS); passed <= newest; passed++) {
            extras[index(passed)] = 0;
            firsts[index(passed)] = 0;
        }
        currentPart = newest;
    }

    private static int index(long part) {
        return Math.floorMod(part, PARTS + 1);
    }
}
