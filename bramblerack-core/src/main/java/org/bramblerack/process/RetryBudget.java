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
     * @param extraLoadPercent extra attempts for 100 first attempts, at least 0
     * @param reserve extra attempts that may be saved up, at least 0
     */
    public static RetryBudget create(int extraLoadPercent, int reserve) {
        checkArgument(extraLoadPercent >= 0, "extra load %s is negative", extraLoadPercent);
        checkArgument(reserve >= 0, "reserve %s is negative", reserve);
        return new RetryBudget(extraLoadPercent, extraLoadPercent == 0 ? 0 : reserve);
    }

    /** Adds the allowance that first attempts bring. */
    public synchronized void deposit(int firstAttempts) {
        level = Math.min(capacity, level + (long) firstAttempts * extraLoadPercent);
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
