package org.bramblerack.request.routed;

/**
 * When the hedge of one request is due, and how often it is considered again after it was not made.
 *
 * <p>An attempt that is overdue at its own leaf is hedged before it is late among all calls of its route. If that is
 * not worth it, the hedge is considered once more when the attempt is late, and then a few times a little later each,
 * since leafs and the budget may look better. Not safe for use by several threads.
 */
final class HedgeSchedule {
    /** How often a hedge of a late attempt is considered, each time a part of the first delay later. */
    private static final int MAX_DENIALS = 4;

    private static final int RECHECK_DELAY_DIVISOR = 4;

    private final long lateAfterNanos;
    private int denials;
    private boolean deniedEarly;
    private long notBeforeNanos;

    /**
     * Creates a schedule.
     *
     * @param lateAfterNanos after how long an attempt is late among all calls of its route
     */
    HedgeSchedule(long lateAfterNanos) {
        this.lateAfterNanos = lateAfterNanos;
    }

    /** Returns true unless the hedge was refused too often. */
    boolean isOpen() {
        return denials < MAX_DENIALS;
    }

    /** Returns when an attempt is to be hedged. */
    long dueNanos(Attempt first) {
        return denials > 0 || deniedEarly ? notBeforeNanos : Math.min(first.overdueNanos(), lateAtNanos(first));
    }

    /** Returns true if an attempt is not late among all calls of its route yet. */
    boolean isEarly(Attempt first, long nowNanos) {
        return nowNanos - lateAtNanos(first) < 0;
    }

    /** Notes that the hedge of an attempt was not made. */
    void recordDenial(Attempt first, long nowNanos) {
        if (isEarly(first, nowNanos)) {
            deniedEarly = true;
            notBeforeNanos = lateAtNanos(first);
        } else {
            denials++;
            notBeforeNanos = nowNanos + lateAfterNanos / RECHECK_DELAY_DIVISOR;
        }
    }

    private long lateAtNanos(Attempt first) {
        return first.sentNanos() + lateAfterNanos;
    }
}
