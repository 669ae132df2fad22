package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The budget that retries and hedges of one service share, filled by first attempts.
 *
 * <p>Invariant: over any period, extra attempts are at most the given percentage of the first attempts plus the
 * reserve. With no first attempts the budget does not grow, so a storm of retries dies out by itself.
 *
 * <p>Safe for use by many threads. Its lock comes after those of the query and the upstream evidence.
 */
public final class RetryBudget {
    private static final int SCALE = 100;

    private final int extraLoadPercent;
    private long capacity;
    private long level;

    private RetryBudget(int extraLoadPercent, int reserve) {
        this.extraLoadPercent = extraLoadPercent;
        this.capacity = (long) reserve * SCALE;
        this.level = capacity;
    }

    /**
     * Creates a full budget.
     *
     * @param extraLoadPercent extra attempts for 100 first attempts, at least 0
     * @param reserve extra attempts that may be saved up, at least 0
     */
    public static RetryBudget create(int extraLoadPercent, int reserve) {
        checkArgument(extraLoadPercent >= 0, "extra load %s is negative", extraLoadPercent);
        checkArgument(reserve >= 0, "reserve %s is negative", reserve);
        return new RetryBudget(extraLoadPercent, extraLoadPercent == 0 ? 0 : reserve);
    }

    /** Leaves a part of the saved up budget only, as is right for a host that may have spent it before a restart. */
    public synchronized void reduceTo(int percent) {
        level = Math.min(level, capacity * percent / SCALE);
    }

    /** Changes what may be saved up; what was saved beyond it is lost. */
    public synchronized void setReserve(int reserve) {
        checkArgument(reserve >= 0, "reserve %s is negative", reserve);
        capacity = extraLoadPercent == 0 ? 0 : (long) reserve * SCALE;
        level = Math.min(level, capacity);
    }

    /** Adds the allowance that first attempts bring. */
    public synchronized void deposit(int firstAttempts) {
        level = Math.min(capacity, level + (long) firstAttempts * extraLoadPercent);
    }

    /**
     * Takes one extra attempt out of the budget if a part of it is left afterwards, for those that need it more.
     *
     * @param reservedPercent the part of what may be saved up that must be left, in whole attempts
     */
    public synchronized boolean tryWithdrawAbove(int reservedPercent) {
        long reserved = capacity * reservedPercent / SCALE / SCALE * SCALE;
        if (level - SCALE < reserved) {
            return false;
        }
        level -= SCALE;
        return true;
    }

    /** Returns which part of what may be saved up is left, from 0 to 1. */
    public synchronized double fill() {
        return capacity == 0 ? 0 : (double) level / capacity;
    }

    /** Takes one extra attempt out of the budget; returns false if it is spent. */
    public synchronized boolean tryWithdraw() {
        if (level < SCALE) {
            return false;
        }
        level -= SCALE;
        return true;
    }
}
