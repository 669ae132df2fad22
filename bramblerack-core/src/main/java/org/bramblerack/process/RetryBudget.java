package org.bramblerack.process;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A token bucket that retries and hedges of one service share and first attempts fill.
 *
 * <p>Invariant: over any period, extra attempts are at most the given percentage of the first attempts plus the
 * reserve. Without first attempts the budget does not grow, which ends retry storms.
 *
 * <p>Safe for use by many threads. Its lock comes after those of the query and the upstream evidence.
 */
public final class RetryBudget {
    private static final int SCALE = 100;

    private final int extraLoadPercent;
    private final long capacity;
    private long level;

    private RetryBudget(int extraLoadPercent, int reserve) {
        this.extraLoadPercent = extraLoadPercent;
        this.capacity = (long) reserve * SCALE;
        this.level = capacity;
    }

    /**
     * Creates a full budget.
     *
     * @param extraLoadPercent extra attempts per 100 first attempts, at least 0
     * @param reserve extra attempts that may accumulate, at least 0
     */
    public static RetryBudget create(int extraLoadPercent, int reserve) {
        checkArgument(extraLoadPercent >= 0, "extra load %s is negative", extraLoadPercent);
        checkArgument(reserve >= 0, "reserve %s is negative", reserve);
        return new RetryBudget(extraLoadPercent, extraLoadPercent == 0 ? 0 : reserve);
    }

    /** Adds the allowance that the given number of first attempts earns. */
    public synchronized void deposit(int firstAttempts) {
        level = Math.min(capacity, level + (long) firstAttempts * extraLoadPercent);
    }

    /** Withdraws one extra attempt from the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryWithdraw() {
        if (level < SCALE) {
            return false;
        }
        level -= SCALE;
        return true;
    }
}
